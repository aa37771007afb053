"""Types shared by the decision policy, its drivers and the settings; contains no decisions and no I/O."""
