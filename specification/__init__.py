"""Model-checked specification of the core protocol.

Each module is one small model; it imports nothing of the product. What they
leave out is written in docs/MEMBERSHIP.md.
"""
