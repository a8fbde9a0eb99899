"""Small test doubles for the systems that radishstack works with.

Each also runs on its own, as in ``python -m standins.engine --port 8101``.
"""
