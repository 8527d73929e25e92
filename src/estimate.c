/*
 * Estimates of run time and size by member and workload, learned from ended
 * tasks. The exponential mean and mean deviation, as TCP uses for round-trip
 * times, give a bound that nearly all tasks stay below and that follows a
 * change within a few tasks.
 */

#include "fireflyvalve.h"

#include <stdlib.h>
#include <string.h>

#define KEY_SIZE (Fv_NAME_SIZE * 2)

/* An observation has a weight of 1/8, as in RFC 6298; the first ones have
   more. */
#define SMOOTHING_SAMPLES 8
#define DEVIATIONS 2

/* An observation is capped at this multiple of the current estimate, so that
   one hung task does not distort the estimate. */
#define OUTLIER_FACTOR 4

/* The declared run time is a lower bound until this many tasks have ended. */
#define RUN_SAMPLES_MIN 3

/* Fewer observations can only raise the declared size, and at most twofold:
   usage reports lag, so that a short task may show too little. */
#define SIZE_SAMPLES_MIN 8
#define FEW_SAMPLES_RAISE_FACTOR 2

/* With enough observations a size stays within this factor of the declared
   one; beyond it a faulty usage report is more likely than a wrong
   declaration. */
#define CORRECTION_FACTOR_MAX 32

#define CPU_FLOOR_MILLIS 50
#define MEMORY_FLOOR_BYTES (INT64_C(16) * 1024 * 1024)

/* Memory follows the peak, not the mean: a task that exceeds it is killed,
   not slowed down. The peak decays by 1/16 of its distance per task. */
#define PEAK_DECAY 16
#define MEMORY_MARGIN_PERCENT 110

/* Used when neither declared nor learned. */
#define DEFAULT_RUN_MS 60000

#define OBSERVATIONS_MAX 1000
#define VALUE_MAX (INT64_MAX / 1024)

typedef struct tracker {
    int64_t mean;
    int64_t deviation;
} tracker_t;

typedef struct estimate {
    char key[KEY_SIZE]; /* MEMBER/WORKLOAD */
    int64_t run_count;
    tracker_t run_ms;
    int64_t size_count;
    tracker_t cpu_millis;
    int64_t memory_peak_bytes;
} estimate_t;

struct fv_estimates {
    fv_table_t table;
};

/**
 * FvEstimates_New - allocate empty estimates
 *
 * Return: the estimates, or NULL when memory is exhausted.
 */
fv_estimates_t *
FvEstimates_New(void)
{
    return calloc(1, sizeof(fv_estimates_t));
}

/**
 * FvEstimates_Free - release estimates
 * @estimates: the estimates, or NULL
 */
void
FvEstimates_Free(fv_estimates_t *estimates)
{
    if (estimates != NULL) {
        FvTable_Clear(&estimates->table);
        free(estimates);
    }
}

static void
make_key(char key[KEY_SIZE], const char *member, const char *workload)
{
    snprintf(key, KEY_SIZE, "%s/%s", member, workload);
}

static const estimate_t *
find_estimate(const fv_estimates_t *estimates, const char *member,
              const char *workload)
{
    char key[KEY_SIZE];

    make_key(key, member, workload);
    return FvTable_Find(&estimates->table, key);
}

static int64_t
clamp(int64_t value, int64_t low, int64_t high)
{
    if (value < low) {
        return low;
    }
    return value < high ? value : high;
}

static int64_t
upper_estimate(const tracker_t *tracker)
{
    return tracker->mean + DEVIATIONS * tracker->deviation;
}

/* Adds the count-th observation; the first one sets the mean. */
static void
update_tracker(tracker_t *tracker, int64_t count, int64_t value,
               int64_t first_deviation)
{
    int64_t weight = count < SMOOTHING_SAMPLES ? count : SMOOTHING_SAMPLES;
    int64_t distance;

    if (count <= 1) {
        tracker->mean = value;
        tracker->deviation = first_deviation;
        return;
    }
    value = clamp(value, 0, OUTLIER_FACTOR * upper_estimate(tracker) + 1);
    distance = llabs(value - tracker->mean);
    tracker->deviation += (distance - tracker->deviation) / weight;
    tracker->mean += (value - tracker->mean) / weight;
}

static void
count_observation(int64_t *count)
{
    if (*count < OBSERVATIONS_MAX) {
        (*count)++;
    }
}

static void
observe_size(estimate_t *estimate, const fv_resources_t *used)
{
    int64_t cpu = clamp(used->cpu_millis, 0, VALUE_MAX);
    int64_t memory = clamp(used->memory_bytes, 0, VALUE_MAX);
    int64_t *peak = &estimate->memory_peak_bytes;

    count_observation(&estimate->size_count);
    /* The first deviation is 0: a single value says nothing about the spread,
       and a task that uses what it declares must not be given more. The
       declared size is the lower bound anyway. */
    update_tracker(&estimate->cpu_millis, estimate->size_count, cpu, 0);
    *peak = memory > *peak ? memory : *peak - (*peak - memory) / PEAK_DECAY;
}

/**
 * FvEstimates_Observe - learn from a task that completed successfully
 * @estimates: the estimates
 * @member: the task's owner
 * @workload: the task's workload
 * @run_ms: how long it ran; not positive when unknown
 * @used: its highest reported usage; NULL or zero when none was reported
 */
void
FvEstimates_Observe(fv_estimates_t *estimates, const char *member,
                    const char *workload, int64_t run_ms,
                    const fv_resources_t *used)
{
    char key[KEY_SIZE];
    estimate_t *estimate;

    make_key(key, member, workload);
    estimate =
        FvTable_FindOrAdd(&estimates->table, key, KEY_SIZE, sizeof(*estimate));
    if (estimate == NULL) {
        return;
    }
    if (run_ms > 0) {
        count_observation(&estimate->run_count);
        run_ms = clamp(run_ms, 1, VALUE_MAX);
        update_tracker(&estimate->run_ms, estimate->run_count, run_ms,
                       run_ms / 2);
    }
    if (used != NULL && used->cpu_millis > 0 && used->memory_bytes > 0) {
        observe_size(estimate, used);
    }
}

/**
 * FvEstimates_RunMs - the run time to plan with
 * @estimates: the estimates
 * @member: the job's owner
 * @workload: the workload with its declared run time
 *
 * Return: a time within which nearly all tasks of the workload complete.
 */
int64_t
FvEstimates_RunMs(const fv_estimates_t *estimates, const char *member,
                  const fv_workload_t *workload)
{
    const estimate_t *estimate =
        find_estimate(estimates, member, workload->name);
    int64_t declared_ms = workload->expected_run_ms;
    int64_t learned_ms;

    if (estimate == NULL || estimate->run_count == 0) {
        return declared_ms > 0 ? declared_ms : DEFAULT_RUN_MS;
    }
    learned_ms = upper_estimate(&estimate->run_ms);
    if (estimate->run_count < RUN_SAMPLES_MIN && learned_ms < declared_ms) {
        return declared_ms;
    }
    return learned_ms;
}

static int64_t
correct_size(int64_t declared, int64_t learned, int64_t floor,
             bool enough_samples)
{
    int64_t low = declared;
    int64_t high = declared * FEW_SAMPLES_RAISE_FACTOR;

    if (declared <= 0 || declared > VALUE_MAX) {
        return declared;
    }
    if (enough_samples) {
        low = declared / CORRECTION_FACTOR_MAX;
        high = declared * CORRECTION_FACTOR_MAX;
        if (low < floor) {
            low = floor < declared ? floor : declared;
        }
    }
    return clamp(learned, low, high);
}

/**
 * FvEstimates_TaskSize - the resources to place a task with
 * @estimates: the estimates
 * @member: the task's owner
 * @workload: the workload with its declared size
 * @size: set to the corrected size; accelerators and slots are as declared,
 *        and so is an amount that was declared as 0
 */
void
FvEstimates_TaskSize(const fv_estimates_t *estimates, const char *member,
                     const fv_workload_t *workload, fv_resources_t *size)
{
    const estimate_t *estimate =
        find_estimate(estimates, member, workload->name);
    bool enough_samples;

    *size = workload->size;
    if (estimate == NULL || estimate->size_count == 0) {
        return;
    }
    enough_samples = estimate->size_count >= SIZE_SAMPLES_MIN;
    size->cpu_millis =
        correct_size(size->cpu_millis, upper_estimate(&estimate->cpu_millis),
                     CPU_FLOOR_MILLIS, enough_samples);
    size->memory_bytes =
        correct_size(size->memory_bytes,
                     estimate->memory_peak_bytes / 100 * MEMORY_MARGIN_PERCENT,
                     MEMORY_FLOOR_BYTES, enough_samples);
}

/* The fields that are saved in the store. */
static const struct {
    const char *name;
    size_t offset;
} fields[] = {
    {"run_count", offsetof(estimate_t, run_count)},
    {"run_mean_ms", offsetof(estimate_t, run_ms.mean)},
    {"run_deviation_ms", offsetof(estimate_t, run_ms.deviation)},
    {"size_count", offsetof(estimate_t, size_count)},
    {"cpu_mean_millis", offsetof(estimate_t, cpu_millis.mean)},
    {"cpu_deviation_millis", offsetof(estimate_t, cpu_millis.deviation)},
    {"memory_peak_bytes", offsetof(estimate_t, memory_peak_bytes)},
};

#define FIELD_COUNT (sizeof(fields) / sizeof(fields[0]))

static int64_t *
field_of(estimate_t *estimate, size_t field)
{
    return (int64_t *)(void *)((char *)estimate + fields[field].offset);
}

/**
 * FvEstimates_ToJson - encode the estimates for the store
 * @estimates: the estimates
 *
 * Return: an object keyed by MEMBER/WORKLOAD, or NULL when memory is
 * exhausted.
 */
json_t *
FvEstimates_ToJson(const fv_estimates_t *estimates)
{
    json_t *object = json_object();

    for (uint32_t i = 0; i < estimates->table.count; i++) {
        estimate_t *estimate = estimates->table.entries[i];
        json_t *entry = json_object();

        for (size_t j = 0; j < FIELD_COUNT; j++) {
            json_object_set_new(entry, fields[j].name,
                                json_integer(*field_of(estimate, j)));
        }
        json_object_set_new(object, estimate->key, entry);
    }
    return object;
}

static bool
read_estimate(const json_t *entry, estimate_t *estimate)
{
    for (size_t i = 0; i < FIELD_COUNT; i++) {
        const json_t *field = json_object_get(entry, fields[i].name);
        int64_t value = json_integer_value(field);

        if (!json_is_integer(field) || value < 0 || value > VALUE_MAX) {
            return false;
        }
        *field_of(estimate, i) = value;
    }
    return true;
}

/**
 * FvEstimates_Merge - merge estimates of another host or an earlier process
 * @estimates: the estimates
 * @saved: what FvEstimates_ToJson returned
 *
 * For each workload the run time and the size with more observations win, so
 * that merging the same record again changes nothing. Malformed entries are
 * skipped.
 */
void
FvEstimates_Merge(fv_estimates_t *estimates, const json_t *saved)
{
    const char *key;
    json_t *entry;

    json_object_foreach((json_t *)saved, key, entry)
    {
        estimate_t saved_estimate = {0};
        estimate_t *own_estimate;

        if (!read_estimate(entry, &saved_estimate)) {
            continue;
        }
        own_estimate = FvTable_FindOrAdd(&estimates->table, key, KEY_SIZE,
                                         sizeof(*own_estimate));
        if (own_estimate != NULL &&
            saved_estimate.run_count > own_estimate->run_count) {
            own_estimate->run_count = saved_estimate.run_count;
            own_estimate->run_ms = saved_estimate.run_ms;
        }
        if (own_estimate != NULL &&
            saved_estimate.size_count > own_estimate->size_count) {
            own_estimate->size_count = saved_estimate.size_count;
            own_estimate->cpu_millis = saved_estimate.cpu_millis;
            own_estimate->memory_peak_bytes = saved_estimate.memory_peak_bytes;
        }
    }
}
