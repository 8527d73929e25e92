/*
 * What the scheduler learns about each queue: which share of the workers the
 * advice service allows, and how long tasks run compared with what their jobs
 * declare.
 */

#include "scheduler.h"

#include <math.h>
#include <string.h>

/* Until it is learned; between the shares on the sheets, 0.35 to 0.7. */
#define Fv_ALLOWED_SHARE_START 0.5

/* An older run counts for less: about this many decide. */
#define Fv_RUNS_REMEMBERED 100.0

/* With fewer runs the declared time is taken as it is. */
#define Fv_RUNS_NEEDED 6.0

/* Declared times that vary less than this (of their logarithms) tell nothing
 * about how the actual ones follow them. */
#define Fv_DECLARED_VARIANCE_MIN 0.01

/* Factor within which run times are expected before any was seen: declared
 * times of two of the three queues on the sheets are off by more. */
#define Fv_SPREAD_START 2.0

/* Jobs take over what was learned after so many more runs. */
#define Fv_RUNS_PER_VERSION 16

/**
 * FvSched_QueueEstimates - what is learned about a queue
 * @sched: the scheduler
 * @queue: its name
 *
 * Return: it, valid until the next call.
 */
fv_queue_estimates_t *
FvSched_QueueEstimates(fv_sched_t *sched, const char *queue)
{
    fv_queue_estimates_t *queue_estimates;

    for (uint32_t i = 0; i < sched->queue_estimate_count; i++) {
        if (strcmp(sched->queue_estimates[i].queue, queue) == 0) {
            return &sched->queue_estimates[i];
        }
    }
    if (sched->queue_estimate_count == Fv_QUEUE_ESTIMATES_MAX) {
        sched->queue_estimate_count = 0; /* queues come and go: learn anew */
    }
    queue_estimates = &sched->queue_estimates[sched->queue_estimate_count++];
    *queue_estimates =
        (fv_queue_estimates_t){.allowed_share = Fv_ALLOWED_SHARE_START};
    FvText_Copy(queue_estimates->queue, sizeof(queue_estimates->queue), queue);
    return queue_estimates;
}

/**
 * FvRunTimeModel_Observe - learn from a run that ended as done
 * @model: the model
 * @declared_ms: its declared time
 * @actual_ms: how long it ran
 * @weight: 1 for a step that counts as one run, less for one of several tasks
 *
 * A linear regression between the logarithms: declared times are off by
 * factors, and the more a queue's are off the less they say.
 */
void
FvRunTimeModel_Observe(fv_run_time_model_t *model, int64_t declared_ms,
                       int64_t actual_ms, double weight)
{
    double decay = 1.0 - weight / Fv_RUNS_REMEMBERED;
    double declared_off;
    double actual_off;

    if (declared_ms <= 0 || actual_ms <= 0 || weight <= 0.0 || weight > 1.0) {
        return;
    }
    declared_off = log((double)declared_ms) - model->declared_mean;
    actual_off = log((double)actual_ms) - model->actual_mean;
    model->weight = model->weight * decay + weight;
    model->declared_mean += declared_off * weight / model->weight;
    model->actual_mean += actual_off * weight / model->weight;
    model->declared_squares =
        model->declared_squares * decay +
        weight * declared_off *
            (log((double)declared_ms) - model->declared_mean);
    model->products =
        model->products * decay +
        weight * declared_off * (log((double)actual_ms) - model->actual_mean);
    model->actual_squares =
        model->actual_squares * decay +
        weight * actual_off * (log((double)actual_ms) - model->actual_mean);
    model->runs++;
}

/* How far the actual time follows the declared one: 1 when it is as much
 * longer as declared, 0 when it does not follow at all. */
static double
slope(const fv_run_time_model_t *model)
{
    double slope;

    if (model->declared_squares < Fv_DECLARED_VARIANCE_MIN * model->weight) {
        return 1.0;
    }
    slope = model->products / model->declared_squares;
    return slope < 0.0 ? 0.0 : slope > 1.0 ? 1.0 : slope;
}

/**
 * FvRunTimeModel_Estimate - the run time to plan with
 * @model: what was learned
 * @declared_ms: the declared time
 *
 * Return: the time, in ms.
 */
int64_t
FvRunTimeModel_Estimate(const fv_run_time_model_t *model, int64_t declared_ms)
{
    if (declared_ms <= 0 || model->weight < Fv_RUNS_NEEDED) {
        return declared_ms;
    }
    return (int64_t)exp(model->actual_mean +
                        slope(model) * (log((double)declared_ms) -
                                        model->declared_mean)) +
           1;
}

/**
 * FvRunTimeModel_Spread - by which factor a run usually exceeds its expected
 * time at the most
 * @model: what was learned
 *
 * Return: the factor, one standard deviation of the logarithms.
 */
double
FvRunTimeModel_Spread(const fv_run_time_model_t *model)
{
    double variance;

    if (model->weight < Fv_RUNS_NEEDED) {
        return Fv_SPREAD_START;
    }
    variance = (model->actual_squares - slope(model) * model->products) /
               model->weight;
    return variance > 0.0 ? exp(sqrt(variance)) : 1.0;
}

/**
 * FvRunTimeModel_Version - changes when jobs are to be planned anew
 * @model: what was learned
 *
 * Return: the version; 0 while nothing is learned.
 */
uint32_t
FvRunTimeModel_Version(const fv_run_time_model_t *model)
{
    return model->weight < Fv_RUNS_NEEDED
               ? 0
               : 1 + model->runs / Fv_RUNS_PER_VERSION;
}
