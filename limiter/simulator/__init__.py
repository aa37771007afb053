"""The wire protocol of the simulator, and the adapter through which it runs simulated limiters."""
