"""Stand-ins for the platform's services: simulations for the demo and the tests only."""
