"""Estimators of a backend server's speed and of the length of answers.

Speeds are learned from observed times: the time from a prompt to its first token,
and the time per token at each number of running requests. Load reports are not
used, because they only show how much time was shared. All functions that depend
on time take it as an argument.
"""

import math

# Weights of a new sample in the moving averages.
PREFILL_LEARNING_RATE = 0.2
RECENT_TOKEN_LEARNING_RATE = 0.1
# The total duration of later samples in which the weight of a sample falls to 1/e.
SAMPLE_DECAY_TIME_MS = 60_000
# Factor by which each sample lowers the recorded peak of the prefill rate.
PEAK_DECAY_FACTOR = 0.995
# Below this total duration of samples, the default time per token is predicted.
MIN_WEIGHT_MS = 200
# At or below this variance of the number of running requests, no slope is fitted; it
# is then this fraction of the mean time per token.
MIN_RUNNING_VARIANCE = 0.5
DEFAULT_SLOPE_FRACTION = 0.03
# Lower bound of a predicted time, as a fraction of the mean time per token.
MIN_TOKEN_TIME_FRACTION = 0.3
# A server counts as unhealthy below this ratio of the expected to the recent time per
# token.
UNHEALTHY_RATIO = 0.4
DEFAULT_PREFILL_TOKENS_PER_S = 8000.0
DEFAULT_TOKEN_MS = 25.0
DEFAULT_OUTPUT_TOKENS = 64.0
# The quantile of the answer lengths that is estimated, and the fraction of the
# estimate that scales each step towards it.
OUTPUT_QUANTILE = 0.7
QUANTILE_STEP_FRACTION = 0.08
MIN_HEALTH = 0.01
# Each band of prompt lengths reaches from one power of this number to the next.
PROMPT_LENGTH_BAND_BASE = 4
# Shorter prompts are not used to measure the prefill rate.
MIN_PREFILL_SAMPLE_TOKENS = 64


class TokenTimeRegression:
    """Linear regression of the time per token on the number of running requests.

    The line is fitted by least squares. A sample is weighted by its duration, so
    that the many tokens of fast phases do not outweigh the slow phases. The
    weight of a sample decays exponentially with the total duration of later samples.

    The attributes are the weighted sums of the samples: of 1 (`weight`), of the
    number of running requests (`count`), of the time per token (`time`), of the
    squared number (`count_squared`), and of number times time (`product`).
    """

    def __init__(self):
        self.weight = 0.0
        self.count = 0.0
        self.time = 0.0
        self.count_squared = 0.0
        self.product = 0.0

    def add_sample(self, running, token_ms, elapsed_ms):
        """Add a sample.

        Parameters
        ----------
        running : the number of running requests.
        token_ms : the time per token.
        elapsed_ms : the duration of the sample.
        """
        decay = math.exp(-elapsed_ms / SAMPLE_DECAY_TIME_MS)
        for name, value in (
            ("weight", 1.0),
            ("count", running),
            ("time", token_ms),
            ("count_squared", running * running),
            ("product", running * token_ms),
        ):
            decayed = decay * getattr(self, name)
            setattr(self, name, decayed + value * elapsed_ms)

    def predict(self, running):
        """Return the expected time per token in milliseconds.

        `running` is the number of running requests.
        """
        if self.weight < MIN_WEIGHT_MS:
            return DEFAULT_TOKEN_MS
        mean_running = self.count / self.weight
        mean_token_ms = self.time / self.weight
        variance = self.count_squared / self.weight - mean_running**2
        slope = 0.0
        if variance > MIN_RUNNING_VARIANCE:
            covariance = self.product / self.weight - mean_running * mean_token_ms
            slope = max(0.0, covariance / variance)
        else:
            slope = DEFAULT_SLOPE_FRACTION * mean_token_ms
        min_token_ms = MIN_TOKEN_TIME_FRACTION * mean_token_ms
        return max(min_token_ms, mean_token_ms + slope * (running - mean_running))


class SpeedEstimator:
    """The learned speed of one backend server.

    Attributes
    ----------
    prefill_rate : prompt tokens per second under the observed load.
    prefill_peak : prompt tokens per second without other requests.
    recent_token_ms : moving average of the milliseconds between two tokens.
    expected_token_ms : the predicted time per token at the last sample.
    """

    def __init__(self):
        self.prefill_rate = DEFAULT_PREFILL_TOKENS_PER_S
        self.prefill_peak = DEFAULT_PREFILL_TOKENS_PER_S
        self.recent_token_ms = DEFAULT_TOKEN_MS
        self.expected_token_ms = DEFAULT_TOKEN_MS
        self.token_time_regression = TokenTimeRegression()

    def record_first_token(self, prompt_tokens, elapsed_ms):
        """Update the prefill rates with the time to a first token.

        `prompt_tokens` includes the tokens of the prompts that were queued before
        this one.
        """
        if prompt_tokens < MIN_PREFILL_SAMPLE_TOKENS or elapsed_ms <= 0:
            return
        rate = prompt_tokens * 1000 / elapsed_ms
        self.prefill_rate += PREFILL_LEARNING_RATE * (rate - self.prefill_rate)
        decayed = self.prefill_peak * PEAK_DECAY_FACTOR
        self.prefill_peak = max(rate, decayed, self.prefill_rate)

    def record_tokens(self, tokens, elapsed_ms, running):
        """Update the time per token with the time for tokens of one request."""
        if tokens <= 0:
            return
        token_ms = elapsed_ms / tokens
        self.expected_token_ms = self.token_time_regression.predict(running)
        self.token_time_regression.add_sample(running, token_ms, elapsed_ms)
        self.recent_token_ms += RECENT_TOKEN_LEARNING_RATE * (
            token_ms - self.recent_token_ms
        )

    def token_ms(self, running):
        """Return the time per token at a number of running requests.

        It is the predicted time, corrected by the server's health.
        """
        return self.token_time_regression.predict(running) / self.health

    @property
    def health(self):
        """The ratio of the expected to the recent time per token, 0 to 1.

        It is 1 unless the ratio is below `UNHEALTHY_RATIO`.
        """
        ratio = self.expected_token_ms / max(self.recent_token_ms, 1e-6)
        return max(MIN_HEALTH, min(1.0, ratio)) if ratio < UNHEALTHY_RATIO else 1.0


class OutputLengthEstimator:
    """Learns the tokens per answer by class, workspace and prompt length.

    Each group has one estimate of the `OUTPUT_QUANTILE` quantile, which each answer
    moves up or down by a fixed fraction.
    """

    def __init__(self):
        self.quantiles = {}

    def group_key(self, class_name, workspace, prompt_tokens):
        """Return the group of a request; prompts of similar length share one."""
        length_band = int(math.log(max(1, prompt_tokens), PROMPT_LENGTH_BAND_BASE))
        return class_name, workspace, length_band

    def predict(self, group, max_tokens):
        """Return the expected tokens; `max_tokens` is 0 if there is no limit."""
        expected = self.quantiles.get(group, DEFAULT_OUTPUT_TOKENS)
        if max_tokens:
            expected = min(expected, max_tokens)
        return max(1, int(expected))

    def update(self, group, tokens):
        """Move a group's quantile towards the length of an answer in tokens."""
        quantile = self.quantiles.get(group)
        if quantile is None:
            self.quantiles[group] = float(max(1, tokens))
            return
        if tokens > quantile:
            quantile *= 1 + QUANTILE_STEP_FRACTION * OUTPUT_QUANTILE
        elif tokens < quantile:
            quantile *= 1 - QUANTILE_STEP_FRACTION * (1 - OUTPUT_QUANTILE)
        self.quantiles[group] = max(1.0, quantile)
