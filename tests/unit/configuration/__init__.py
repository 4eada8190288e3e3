"""Unit tests of the configuration package."""
