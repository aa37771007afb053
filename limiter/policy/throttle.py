"""The throttle: the clamped multiplicative update of an admission probability.

From Rogowski and Tarasiuk's loss-based overload control; the paper's symbol stands behind each name. The
utilization (rho_m) is an EWMA of samples; with each new reading of it the admission probability (p) is
multiplied by target / utilization (phi) and clamped. Types: limiter/model. Times are milliseconds.
"""

# Utilization that the throttle steers a customer towards; rho_target of the paper.
TARGET_UTILIZATION = 0.95
# Least admission probability, so that the use of a rejected customer goes on being measured; p_min.
MIN_ADMISSION_PROBABILITY = 0.01
# Least time between two samples of the utilization; T_m.
SAMPLE_INTERVAL_MS = 200.0
# Least time between two updates of the admission probability; T_f.
UPDATE_INTERVAL_MS = 400.0
# Weight of the newest sample in the utilization; w.
UTILIZATION_EWMA_WEIGHT = 0.8


def clamp_probability(probability: float, minimum: float = MIN_ADMISSION_PROBABILITY) -> float:
    """Return the value from `minimum` to 1 that is nearest to `probability`."""
    return min(1.0, max(minimum, probability))


def compute_updated_probability(
    probability: float, utilization: float, target: float = TARGET_UTILIZATION
) -> float:
    """Return the admission probability after one reading of the utilization.

    Args:
        probability: The admission probability before it.
        utilization: The reading, as a share of the quota.
        target: Utilization to steer towards.
    """
    return clamp_probability(probability * target / max(utilization, 1e-6))
