/*
 * Limits on retries: a token budget, so that retries cannot multiply the load
 * on a failing component, and exponential backoff with jitter.
 */

#include "fireflyvalve.h"

/* Each request adds a tenth of a retry to the budget. */
#define RETRY_COST_MILLI 1000
#define DEPOSIT_PER_REQUEST_MILLI 100
#define BUDGET_MAX_MILLI 100000

/* With little traffic, deposits alone would allow no retries. The budget also
   refills by one retry a second, up to three. */
#define MIN_REFILL_MILLI_PER_MS 1
#define MIN_REFILL_MAX_MILLI 3000

#define BACKOFF_BASE_MS INT64_C(50)
#define BACKOFF_MAX_MS INT64_C(10000)
#define BACKOFF_DOUBLINGS_MAX 8

static void
add_tokens(fv_retry_budget_t *budget, int64_t tokens_milli)
{
    budget->tokens_milli += tokens_milli;
    if (budget->tokens_milli > BUDGET_MAX_MILLI) {
        budget->tokens_milli = BUDGET_MAX_MILLI;
    }
}

static void
refill_minimum(fv_retry_budget_t *budget, int64_t now_ms)
{
    int64_t elapsed_ms = now_ms - budget->last_refill_ms;
    int64_t shortfall_milli = MIN_REFILL_MAX_MILLI - budget->tokens_milli;
    int64_t refill_milli;

    if (elapsed_ms <= 0) {
        return;
    }
    budget->last_refill_ms = now_ms;
    refill_milli = elapsed_ms >= MIN_REFILL_MAX_MILLI
                       ? MIN_REFILL_MAX_MILLI
                       : elapsed_ms * MIN_REFILL_MILLI_PER_MS;
    if (shortfall_milli > 0) {
        add_tokens(budget, refill_milli < shortfall_milli ? refill_milli
                                                          : shortfall_milli);
    }
}

/**
 * FvRetryBudget_Deposit - add a request's share of a retry
 * @budget: the budget
 *
 * To be called for the first attempt of each request.
 */
void
FvRetryBudget_Deposit(fv_retry_budget_t *budget)
{
    add_tokens(budget, DEPOSIT_PER_REQUEST_MILLI);
}

/**
 * FvRetryBudget_TryWithdraw - take one retry from the budget
 * @budget: the budget; initially zero
 * @now_ms: boot time
 *
 * Return: false if the budget is exhausted and the caller must not retry.
 */
bool
FvRetryBudget_TryWithdraw(fv_retry_budget_t *budget, int64_t now_ms)
{
    refill_minimum(budget, now_ms);
    if (budget->tokens_milli < RETRY_COST_MILLI) {
        return false;
    }
    budget->tokens_milli -= RETRY_COST_MILLI;
    return true;
}

/**
 * FvRetryBudget_Refund - return a retry that was not sent
 * @budget: the budget
 */
void
FvRetryBudget_Refund(fv_retry_budget_t *budget)
{
    add_tokens(budget, RETRY_COST_MILLI);
}

/**
 * FvRetry_BackoffMs - delay before a retry
 * @attempt: 0 for the first retry
 * @random: a random number
 *
 * Return: a random value from half of the full delay up to all of it. The full
 * delay is 50 ms, doubled for each attempt up to 10 s.
 */
int64_t
FvRetry_BackoffMs(int32_t attempt, uint64_t random)
{
    int64_t delay_ms = BACKOFF_MAX_MS;
    int64_t half_ms;

    if (attempt < 0) {
        attempt = 0;
    }
    if (attempt < BACKOFF_DOUBLINGS_MAX) {
        delay_ms = BACKOFF_BASE_MS << attempt;
    }
    half_ms = delay_ms / 2;
    return half_ms + (int64_t)(random % (uint64_t)(delay_ms - half_ms + 1));
}
