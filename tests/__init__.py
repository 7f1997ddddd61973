"""Tests: behave features and what they need."""
