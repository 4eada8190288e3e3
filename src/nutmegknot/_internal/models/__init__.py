"""Core types: plain classes with slots, independent of any encoding."""
