"""Core types: slotted dataclasses that know nothing of encodings."""
