/*
 * Estimates for each queue: the share of the workers that the advice service
 * allows, and a model of run times compared with the declared ones.
 */

#include "scheduler.h"

#include <math.h>
#include <string.h>

/* Before the first verdict; the platform's services allow 0.35 to 0.7. */
#define Fv_ALLOWED_SHARE_DEFAULT 0.5

/* Effective number of runs in the exponentially weighted averages. */
#define Fv_RUNS_WINDOW 100.0

/* With fewer runs the declared time is used unchanged. */
#define Fv_RUNS_MIN 6.0

/* Below this variance of the logarithms, the declared times are too similar to
 * fit a slope. */
#define Fv_DECLARED_VARIANCE_MIN 0.01

/* Used with fewer than Fv_RUNS_MIN runs. On the platform, the declared times
 * of two of the three queues are off by more than this factor. */
#define Fv_SPREAD_DEFAULT 2.0

/* Start targets are recomputed after this many more runs in the model. */
#define Fv_RUNS_PER_VERSION 16

/**
 * FvSched_QueueEstimates - get the estimates for a queue
 * @sched: the scheduler
 * @queue: name of the queue
 *
 * Return: the estimates, created if there are none; valid until the next call.
 */
fv_queue_estimates_t *
FvSched_QueueEstimates(fv_sched_t *sched, const char *queue)
{
    fv_queue_estimates_t *estimates;

    for (uint32_t i = 0; i < sched->queue_estimate_count; i++) {
        if (strcmp(sched->queue_estimates[i].queue, queue) == 0) {
            return &sched->queue_estimates[i];
        }
    }
    if (sched->queue_estimate_count == Fv_QUEUE_ESTIMATES_MAX) {
        sched->queue_estimate_count = 0; /* starts over, since queues change */
    }
    estimates = &sched->queue_estimates[sched->queue_estimate_count++];
    *estimates =
        (fv_queue_estimates_t){.allowed_share = Fv_ALLOWED_SHARE_DEFAULT};
    FvText_Copy(estimates->queue, sizeof(estimates->queue), queue);
    return estimates;
}

/**
 * FvRunTimeModel_Observe - add a completed run to the model
 * @model: the model
 * @declared_ms: its declared run time
 * @actual_ms: its actual run time
 * @weight: 1 when the run stands for its whole step; the run's share of the
 *          step when each of its tasks is observed
 *
 * The model is a linear regression between the logarithms of both, since
 * declared times are off by factors. The less accurate the declared times of a
 * queue are, the smaller is their influence.
 */
void
FvRunTimeModel_Observe(fv_run_time_model_t *model, int64_t declared_ms,
                       int64_t actual_ms, double weight)
{
    double decay = 1.0 - weight / Fv_RUNS_WINDOW;
    double declared_deviation;
    double actual_deviation;

    if (declared_ms <= 0 || actual_ms <= 0 || weight <= 0.0 || weight > 1.0) {
        return;
    }
    declared_deviation = log((double)declared_ms) - model->declared_mean;
    actual_deviation = log((double)actual_ms) - model->actual_mean;
    model->weight = model->weight * decay + weight;
    model->declared_mean += declared_deviation * weight / model->weight;
    model->actual_mean += actual_deviation * weight / model->weight;
    model->declared_squares =
        model->declared_squares * decay +
        weight * declared_deviation *
            (log((double)declared_ms) - model->declared_mean);
    model->products = model->products * decay +
                      weight * declared_deviation *
                          (log((double)actual_ms) - model->actual_mean);
    model->actual_squares = model->actual_squares * decay +
                            weight * actual_deviation *
                                (log((double)actual_ms) - model->actual_mean);
    model->runs++;
}

/* 1 when the actual times are proportional to the declared ones, 0 when they
 * do not depend on them. */
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
 * FvRunTimeModel_Estimate - estimate a run time
 * @model: the model
 * @declared_ms: the declared run time
 *
 * Return: the expected run time in ms.
 */
int64_t
FvRunTimeModel_Estimate(const fv_run_time_model_t *model, int64_t declared_ms)
{
    if (declared_ms <= 0 || model->weight < Fv_RUNS_MIN) {
        return declared_ms;
    }
    return (int64_t)exp(model->actual_mean +
                        slope(model) * (log((double)declared_ms) -
                                        model->declared_mean)) +
           1;
}

/**
 * FvRunTimeModel_Spread - get the spread of run times around the expected ones
 * @model: the model
 *
 * Return: the ratio of actual to expected run time that most runs stay below:
 * one standard deviation of the logarithms.
 */
double
FvRunTimeModel_Spread(const fv_run_time_model_t *model)
{
    double variance;

    if (model->weight < Fv_RUNS_MIN) {
        return Fv_SPREAD_DEFAULT;
    }
    variance = (model->actual_squares - slope(model) * model->products) /
               model->weight;
    return variance > 0.0 ? exp(sqrt(variance)) : 1.0;
}

/**
 * FvRunTimeModel_Version - get a version that changes when start targets have
 * to be recomputed
 * @model: the model
 *
 * Return: the version; 0 while there are too few runs.
 */
uint32_t
FvRunTimeModel_Version(const fv_run_time_model_t *model)
{
    return model->weight < Fv_RUNS_MIN ? 0
                                       : 1 + model->runs / Fv_RUNS_PER_VERSION;
}
