"""Implementation of nutmegknot; nothing in here is a public interface."""
