"""Small stand-ins for the systems that radishstack serves.

Each runs alone, for example ``python -m standins.engine --port 8101``.
"""
