"""The throttle: the clamped multiplicative update of an admission probability.

It implements the loss-based overload control of Rogowski and Tarasiuk. The comments give the symbols of the
paper: the utilization (rho_m) is an EWMA of samples; at each update the admission probability (p) is
multiplied by target / utilization (phi) and clamped. Types are defined in limiter/model. Times are in
milliseconds.
"""

# Target utilization of a customer's quota (rho_target).
TARGET_UTILIZATION = 0.95
# Minimum admission probability (p_min), so that the usage of a rejected customer is still measured.
MIN_ADMISSION_PROBABILITY = 0.01
# Minimum time between two samples of the utilization (T_m).
SAMPLE_INTERVAL_MS = 200.0
# Minimum time between two updates of the admission probability (T_f).
UPDATE_INTERVAL_MS = 400.0
# Weight of the newest sample in the utilization (w).
UTILIZATION_EWMA_WEIGHT = 0.8


def clamp_probability(probability: float, minimum: float = MIN_ADMISSION_PROBABILITY) -> float:
    """Return `probability` clamped to the range from `minimum` to 1."""
    return min(1.0, max(minimum, probability))


def compute_updated_probability(
    probability: float, utilization: float, target: float = TARGET_UTILIZATION
) -> float:
    """Return the admission probability after an update with the current utilization.

    Args:
        probability: Admission probability before the update.
        utilization: Current utilization, as a fraction of the quota.
        target: Target utilization.
    """
    return clamp_probability(probability * target / max(utilization, 1e-6))
