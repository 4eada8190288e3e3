"""Model-checked specification of the core protocol.

Each model is a module of its own and imports nothing from the product.
docs/MEMBERSHIP.md lists what the models leave out.
"""
