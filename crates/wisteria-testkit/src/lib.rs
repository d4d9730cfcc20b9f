//! Builders shared by the test suite.
