/*
 * Counters and timings of the process, exported in the Prometheus text format.
 */

#include "fireflyvalve.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdarg.h>
#include <string.h>

/* Name of the entry shared by all members beyond Fv_MEMBERS_MAX. It isn't a
 * valid member name. */
#define Fv_OTHER_MEMBERS "*"
#define Fv_LINE_SIZE 256

typedef struct fv_counter_info {
    const char *name;
    const char *help;
} fv_counter_info_t;

static const fv_counter_info_t counter_infos[Fv_COUNTER_COUNT] = {
    [Fv_COUNTER_JOBS_ACCEPTED] = {"jobs_accepted", "Jobs accepted."},
    [Fv_COUNTER_JOBS_REFUSED] = {"jobs_refused",
                                 "Jobs refused at submission."},
    [Fv_COUNTER_STARTS] = {"starts", "Task starts sent to workers."},
    [Fv_COUNTER_STARTS_REFUSED] = {"starts_refused",
                                   "Task starts refused by a worker or a "
                                   "lease holder."},
    [Fv_COUNTER_RETRIES] = {"retries", "Repeated attempts of jobs."},
    [Fv_COUNTER_STORE_READS] = {"store_reads", "Read calls to the store."},
    [Fv_COUNTER_STORE_WRITES] = {"store_writes", "Write calls to the store."},
    [Fv_COUNTER_STORE_WATCHES] = {"store_watches",
                                  "Watch calls to the store."},
    [Fv_COUNTER_STORE_ERRORS] = {"store_errors", "Failed store calls."},
    [Fv_COUNTER_STORE_UNCONFIRMED] = {"store_in_doubt",
                                      "Store writes whose response was lost."},
    [Fv_COUNTER_LEASE_RENEWALS] = {"lease_renewals",
                                   "Worker leases taken or renewed."},
    [Fv_COUNTER_LEASE_LOSSES] = {"lease_losses",
                                 "Worker leases lost to expiry or to another "
                                 "holder."},
    [Fv_COUNTER_LINK_BYTES_SENT] = {"link_bytes_sent",
                                    "Bytes sent to other entry hosts."},
    [Fv_COUNTER_LINK_BYTES_RECEIVED] = {"link_bytes_received",
                                        "Bytes received from other entry "
                                        "hosts."},
    [Fv_COUNTER_LINK_REJECTED] = {"link_rejected",
                                  "Connections rejected because the peer "
                                  "failed authentication or sent a malformed "
                                  "frame."},
    [Fv_COUNTER_UPSTREAM_BYTES_SENT] = {"upstream_bytes_sent",
                                        "Bytes sent to workers."},
    [Fv_COUNTER_UPSTREAM_BYTES_RECEIVED] = {"upstream_bytes_received",
                                            "Bytes received from workers."},
    [Fv_COUNTER_HTTP_REQUESTS] = {"http_requests",
                                  "Requests received from callers."},
    [Fv_COUNTER_HTTP_BAD_REQUESTS] = {"http_bad_requests",
                                      "Requests answered with a 4xx status "
                                      "before they reached the scheduler."},
    [Fv_COUNTER_HTTP_REPLIES] = {"http_replies",
                                 "Replies to callers that were written to "
                                 "the socket in whole."},
    [Fv_COUNTER_CLAIM_CONFLICTS] = {"claim_conflicts",
                                    "Claim writes that lost to another "
                                    "writer."},
    [Fv_COUNTER_CLAIMS_RECOVERED] = {"claims_recovered",
                                     "Claims taken over from another host."},
    [Fv_COUNTER_QUARANTINES] = {"quarantines", "Workers put in quarantine."},
    [Fv_COUNTER_AVOIDABLE_WAITS] = {"avoidable_waits",
                                    "Times that a stage waited beside free "
                                    "capacity."},
    [Fv_COUNTER_BACKFILLS] = {"backfills", "Single tasks started on workers "
                                           "that are reserved for a gang."},
    [Fv_COUNTER_RESERVATIONS_PAUSED] = {"reservations_paused",
                                        "Times that a gang's reservation was "
                                        "withheld as of no use."},
    [Fv_COUNTER_JOBS_UNFIT] = {"jobs_unfit",
                               "Jobs refused, as no worker could "
                               "ever run them."},
    [Fv_COUNTER_JOBS_HOPELESS] = {"jobs_hopeless",
                                  "Jobs refused, as the backlog would leave "
                                  "them without value."},
    [Fv_COUNTER_DECISIONS] = {"decisions", "Placement decisions."},
    [Fv_COUNTER_CALL_WAITS] = {"call_waits",
                               "Calls that waited for a connection."},
    [Fv_COUNTER_CALLS_NOT_SENT] = {"calls_not_sent",
                                   "Calls that were never written."},
    [Fv_COUNTER_CONNECTIONS_OPENED] = {"connections_opened",
                                       "Connections opened for calls."},
    [Fv_COUNTER_CONNECTIONS_RESET] = {"connections_reset",
                                      "New connections that a worker closed "
                                      "before its first answer."},
    [Fv_COUNTER_DEPENDENCIES_LOST] = {"dependencies_lost",
                                      "Times that a service or a host did not "
                                      "answer any more, or at first."},
    [Fv_COUNTER_HTTP_NOT_FORWARDED] = {"http_not_forwarded",
                                       "Requests refused without a leader: no "
                                       "configuration, no memory, or shutting "
                                       "down."},
    [Fv_COUNTER_CONFIGS_REFUSED] = {"configs_refused",
                                    "Configurations that were unreadable or "
                                    "bad."},
    [Fv_COUNTER_KEYS_REFUSED] = {"keys_refused",
                                 "Requests without a key that is known."},
    [Fv_COUNTER_CUSTOMERS_REFUSED] = {"customers_refused",
                                      "Requests about a job of another "
                                      "customer."},
    [Fv_COUNTER_REQUESTS_GIVEN_BACK] = {"requests_given_back",
                                        "Requests returned to a host with "
                                        "earlier customers."},
    [Fv_COUNTER_ACCOUNTS_CORRECTED] = {"accounts_corrected",
                                       "Times that the usage of a customer "
                                       "was found wrong and counted anew."},
    [Fv_COUNTER_CALLERS_UNREAD] = {"callers_unread",
                                   "Connections closed because their caller "
                                   "did not read an answer."},
    [Fv_COUNTER_CALLERS_SLOW] = {"callers_slow",
                                 "Connections closed because a header or a "
                                 "body took too long."},
    [Fv_COUNTER_CALLERS_DISPLACED] = {"callers_displaced",
                                      "Connections closed to make room for "
                                      "others."},
    [Fv_COUNTER_TASKS_LOST] = {"tasks_lost",
                               "Tasks that went back to waiting because their "
                               "worker was lost."},
    [Fv_COUNTER_WORKERS_OVERCOMMITTED] = {"workers_overcommitted",
                                          "Times that a worker listed more "
                                          "runs than its capacity admits."},
    [Fv_COUNTER_SPEED_RUNS] = {"speed_runs",
                               "Runs from which the speed of a worker was "
                               "learned."},
    [Fv_COUNTER_SPEED_CHANGES] = {"speed_changes",
                                  "Times that the speed of a worker became "
                                  "known or changed."},
};

static const fv_counter_info_t timing_infos[Fv_TIMING_COUNT] = {
    [Fv_TIMING_WAIT] = {"wait", "Time from submission to start."},
    [Fv_TIMING_RUN] = {"run", "Time from start to end."},
    [Fv_TIMING_TOTAL] = {"total", "Time from submission to end."},
};

static const fv_counter_info_t member_counter_infos[Fv_MEMBER_COUNTER_COUNT] =
    {
        [Fv_MEMBER_JOBS_ACCEPTED] = {"customer_jobs_accepted",
                                     "Jobs accepted within the customer's "
                                     "rate."},
        [Fv_MEMBER_EXCESS_ACCEPTED] = {"customer_excess_accepted",
                                       "Jobs accepted beyond the customer's "
                                       "rate."},
        [Fv_MEMBER_EXCESS_REFUSED] = {"customer_excess_refused",
                                      "Jobs beyond the customer's rate that "
                                      "were refused while the cell was full."},
        [Fv_MEMBER_CAP_WAITS] = {"customer_cap_waits",
                                 "Stages that waited 1.5 s or more for the "
                                 "customer's cap."},
};

typedef struct fv_member_metrics {
    char name[Fv_NAME_SIZE];
    atomic_uint_fast64_t cross_region_bytes;
    atomic_uint_fast64_t counters[Fv_MEMBER_COUNTER_COUNT];
    _Atomic(fv_histogram_t *) timings[Fv_TIMING_COUNT][Fv_CLASS_COUNT];
} fv_member_metrics_t;

static atomic_uint_fast64_t counters[Fv_COUNTER_COUNT];
/* Entries below member_count are never renamed or removed, so lookups take no
 * lock. */
static fv_member_metrics_t members[Fv_MEMBERS_MAX + 1];
static atomic_uint member_count;
static pthread_mutex_t create_lock = PTHREAD_MUTEX_INITIALIZER;

/**
 * FvMetrics_Add - increase a counter; safe to call from any thread
 * @counter: the counter
 * @amount: the increment
 */
void
FvMetrics_Add(fv_counter_t counter, uint64_t amount)
{
    atomic_fetch_add_explicit(&counters[counter], amount,
                              memory_order_relaxed);
}

/**
 * FvMetrics_Get - read a counter
 * @counter: the counter
 *
 * Return: its value.
 */
uint64_t
FvMetrics_Get(fv_counter_t counter)
{
    return atomic_load_explicit(&counters[counter], memory_order_relaxed);
}

static fv_member_metrics_t *
find_member(const char *name)
{
    unsigned count = atomic_load(&member_count);

    for (unsigned i = 0; i < count; i++) {
        if (strcmp(members[i].name, name) == 0) {
            return &members[i];
        }
    }
    return NULL;
}

static fv_member_metrics_t *
add_member_locked(const char *name)
{
    unsigned count = atomic_load(&member_count);

    if (count >= Fv_MEMBERS_MAX) {
        name = Fv_OTHER_MEMBERS;
    }
    if (count > Fv_MEMBERS_MAX) {
        return &members[Fv_MEMBERS_MAX];
    }
    snprintf(members[count].name, sizeof(members[count].name), "%s", name);
    atomic_store(&member_count, count + 1);
    return &members[count];
}

static fv_member_metrics_t *
find_or_add_member(const char *name)
{
    fv_member_metrics_t *member = find_member(name);

    if (member != NULL) {
        return member;
    }
    pthread_mutex_lock(&create_lock);
    member = find_member(name);
    if (member == NULL) {
        member = add_member_locked(name);
    }
    pthread_mutex_unlock(&create_lock);
    return member;
}

static fv_histogram_t *
find_or_add_histogram(_Atomic(fv_histogram_t *) *slot)
{
    fv_histogram_t *histogram = atomic_load(slot);

    if (histogram != NULL) {
        return histogram;
    }
    pthread_mutex_lock(&create_lock);
    histogram = atomic_load(slot);
    if (histogram == NULL) {
        histogram = FvHistogram_New();
        atomic_store(slot, histogram);
    }
    pthread_mutex_unlock(&create_lock);
    return histogram;
}

/**
 * FvMetrics_Record - record a duration of a job; safe to call from any thread
 * @timing: kind of duration
 * @class_id: the job's class
 * @member: the job's member
 * @value_us: the duration
 *
 * The value is dropped when memory is exhausted.
 */
void
FvMetrics_Record(fv_timing_t timing, fv_class_t class_id, const char *member,
                 int64_t value_us)
{
    fv_member_metrics_t *entry = find_or_add_member(member);
    fv_histogram_t *histogram =
        find_or_add_histogram(&entry->timings[timing][class_id]);

    if (histogram != NULL) {
        FvHistogram_Record(histogram, value_us);
    }
}

/**
 * FvMetrics_AddCrossRegionBytes - count bytes sent to another region
 * @member: the member whose traffic it is
 * @bytes: number of bytes
 */
void
FvMetrics_AddCrossRegionBytes(const char *member, uint64_t bytes)
{
    atomic_fetch_add(&find_or_add_member(member)->cross_region_bytes, bytes);
}

/**
 * FvMetrics_AddForMember - increase a counter of a member
 * @counter: the counter
 * @member: the member
 * @amount: the increment
 */
void
FvMetrics_AddForMember(fv_member_counter_t counter, const char *member,
                       uint64_t amount)
{
    atomic_fetch_add(&find_or_add_member(member)->counters[counter], amount);
}

static void print_line(fv_buffer_t *out, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
print_line(fv_buffer_t *out, const char *format, ...)
{
    char line[Fv_LINE_SIZE];
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(line, sizeof(line), format, arguments);
    va_end(arguments);
    FvBuffer_Append(out, line, strlen(line));
}

static void
print_header(fv_buffer_t *out, const char *name, const char *suffix,
             const char *type, const char *help)
{
    print_line(out, "# HELP fireflyvalve_%s%s %s\n", name, suffix, help);
    print_line(out, "# TYPE fireflyvalve_%s%s %s\n", name, suffix, type);
}

static void
print_counters(fv_buffer_t *out)
{
    for (int i = 0; i < Fv_COUNTER_COUNT; i++) {
        const fv_counter_info_t *info = &counter_infos[i];

        print_header(out, info->name, "_total", "counter", info->help);
        print_line(out, "fireflyvalve_%s_total %" PRIu64 "\n", info->name,
                   FvMetrics_Get((fv_counter_t)i));
    }
}

static void
print_summary(fv_buffer_t *out, const char *name, const char *labels,
              const fv_histogram_t *histogram)
{
    static const double quantiles[] = {0.5, 0.9, 0.99, 0.999};

    for (size_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++) {
        int64_t value_us = FvHistogram_Quantile(histogram, quantiles[i]);

        print_line(out, "fireflyvalve_%s_seconds{%s,quantile=\"%g\"} %.6f\n",
                   name, labels, quantiles[i], (double)value_us / 1e6);
    }
    print_line(out, "fireflyvalve_%s_seconds_sum{%s} %.6f\n", name, labels,
               (double)FvHistogram_Sum(histogram) / 1e6);
    print_line(out, "fireflyvalve_%s_seconds_count{%s} %" PRIu64 "\n", name,
               labels, FvHistogram_Count(histogram));
}

static void
print_timing(fv_buffer_t *out, fv_timing_t timing)
{
    unsigned count = atomic_load(&member_count);
    char labels[Fv_LINE_SIZE / 2];

    print_header(out, timing_infos[timing].name, "_seconds", "summary",
                 timing_infos[timing].help);
    for (unsigned i = 0; i < count; i++) {
        for (int class_id = 0; class_id < Fv_CLASS_COUNT; class_id++) {
            const fv_histogram_t *histogram =
                atomic_load(&members[i].timings[timing][class_id]);

            if (histogram != NULL) {
                snprintf(labels, sizeof(labels),
                         "class=\"%s\",member=\"%.*s\"",
                         FvClass_Name((fv_class_t)class_id),
                         (int)sizeof(members[i].name) - 1, members[i].name);
                print_summary(out, timing_infos[timing].name, labels,
                              histogram);
            }
        }
    }
}

static void
print_cross_region_bytes(fv_buffer_t *out)
{
    unsigned count = atomic_load(&member_count);

    print_header(out, "cross_region_bytes", "_total", "counter",
                 "Bytes sent to other regions, by member.");
    for (unsigned i = 0; i < count; i++) {
        print_line(out,
                   "fireflyvalve_cross_region_bytes_total{member=\"%s\"} "
                   "%" PRIu64 "\n",
                   members[i].name,
                   (uint64_t)atomic_load(&members[i].cross_region_bytes));
    }
}

static void
print_member_counter(fv_buffer_t *out, fv_member_counter_t counter)
{
    const fv_counter_info_t *info = &member_counter_infos[counter];
    unsigned count = atomic_load(&member_count);

    print_header(out, info->name, "_total", "counter", info->help);
    for (unsigned i = 0; i < count; i++) {
        uint64_t value = atomic_load(&members[i].counters[counter]);

        if (value > 0) {
            print_line(out,
                       "fireflyvalve_%s_total{member=\"%s\"} %" PRIu64 "\n",
                       info->name, members[i].name, value);
        }
    }
}

/**
 * FvMetrics_Print - append all metrics in the Prometheus text format
 * @out: the output buffer
 */
void
FvMetrics_Print(fv_buffer_t *out)
{
    print_counters(out);
    for (int i = 0; i < Fv_TIMING_COUNT; i++) {
        print_timing(out, (fv_timing_t)i);
    }
    print_cross_region_bytes(out);
    for (int i = 0; i < Fv_MEMBER_COUNTER_COUNT; i++) {
        print_member_counter(out, (fv_member_counter_t)i);
    }
}
