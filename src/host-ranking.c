/*
 * Order in which hosts are tried for a job's placement: this host, its data
 * centre, its region and, once the job has waited long enough to justify
 * traffic between regions, the other regions.
 */

#include "fireflyvalve.h"

#include <string.h>

/* Digests arrive every 500 ms within the region and every 2,000 ms from other
   regions; after three missed ones, a host's free capacity is unknown. */
#define DIGEST_MAX_AGE_MS 1500
#define REMOTE_DIGEST_MAX_AGE_MS 6000

/* A round trip to another region takes 40 ms, so an interactive task that has
   waited longer than that starts sooner there. */
#define REMOTE_AFTER_INTERACTIVE_MS 50

/* Traffic between regions is billed by volume, so other classes wait longer
   before they use another region: half of the time within which the job must
   start, but at most this long. */
#define REMOTE_AFTER_MAX_MS 10000

typedef enum distance {
    DISTANCE_DATA_CENTER,
    DISTANCE_REGION,
    DISTANCE_REMOTE,
    DISTANCE_COUNT
} distance_t;

typedef struct candidate {
    const fv_host_t *host;
    int64_t free_cpu_millis;
} candidate_t;

static distance_t
distance_between(const fv_host_t *self, const fv_host_t *host)
{
    if (strcmp(self->region, host->region) != 0) {
        return DISTANCE_REMOTE;
    }
    return strcmp(self->data_center, host->data_center) == 0
               ? DISTANCE_DATA_CENTER
               : DISTANCE_REGION;
}

static int64_t
remote_after_ms(const fv_workload_t *workload)
{
    int64_t half_ms = workload->start_within_ms / 2;

    if (workload->class_id == Fv_CLASS_INTERACTIVE) {
        return REMOTE_AFTER_INTERACTIVE_MS;
    }
    return half_ms > 0 && half_ms < REMOTE_AFTER_MAX_MS ? half_ms
                                                        : REMOTE_AFTER_MAX_MS;
}

static bool
can_place_on(const fv_host_t *host, distance_t distance,
             const fv_workload_t *workload, int64_t now_ms)
{
    const fv_host_digest_t *digest = &host->digest;
    int64_t max_age_ms = distance == DISTANCE_REMOTE ? REMOTE_DIGEST_MAX_AGE_MS
                                                     : DIGEST_MAX_AGE_MS;

    if (!host->listed_live || !host->linked || digest->received_ms == 0 ||
        now_ms - digest->received_ms > max_age_ms) {
        return false;
    }
    return FvResources_Fits(&workload->size,
                            workload->class_id == Fv_CLASS_INTERACTIVE
                                ? &digest->free_interactive
                                : &digest->free_largest);
}

/* Divides the host's free CPU among this job and the jobs queued there. */
static int64_t
free_cpu_per_job(const fv_host_digest_t *digest, fv_class_t class_id)
{
    const fv_resources_t *free = class_id == Fv_CLASS_INTERACTIVE
                                     ? &digest->free_interactive
                                     : &digest->free_total;

    return free->cpu_millis / (1 + digest->queued[class_id]);
}

/* SplitMix64. */
static uint64_t
next_random(uint64_t *state)
{
    uint64_t mixed = (*state += UINT64_C(0x9e3779b97f4a7c15));

    mixed = (mixed ^ (mixed >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    mixed = (mixed ^ (mixed >> 27)) * UINT64_C(0x94d049bb133111eb);
    return mixed ^ (mixed >> 31);
}

/* Removes the better of two random candidates. All hosts see the same digests
   and would all choose the same host if each took the best candidate. */
static const fv_host_t *
take_candidate(candidate_t *candidates, uint32_t count, uint64_t *random)
{
    uint32_t first = (uint32_t)(next_random(random) % count);
    uint32_t second = (uint32_t)(next_random(random) % count);
    uint32_t chosen =
        candidates[second].free_cpu_millis > candidates[first].free_cpu_millis
            ? second
            : first;
    const fv_host_t *host = candidates[chosen].host;

    candidates[chosen] = candidates[count - 1];
    return host;
}

static uint32_t
collect_candidates(const fv_hosts_t *hosts, const fv_host_t *self,
                   const fv_workload_t *workload, distance_t distance,
                   int64_t now_ms, candidate_t *candidates)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < hosts->count; i++) {
        const fv_host_t *host = hosts->entries[i];

        if (host != self && distance_between(self, host) == distance &&
            can_place_on(host, distance, workload, now_ms)) {
            candidates[count++] =
                (candidate_t){.host = host,
                              .free_cpu_millis = free_cpu_per_job(
                                  &host->digest, workload->class_id)};
        }
    }
    return count;
}

/**
 * FvHostRanking_Build - list the hosts to try for a job's placement, in order
 * @hosts: all entry hosts
 * @self: this host; always listed first
 * @workload: the job's workload, with the size used for placement
 * @waited_ms: how long the job has waited for a start
 * @now_ms: boot time
 * @random: seed of the random choices
 * @ranked: receives the hosts
 * @limit: size of @ranked
 *
 * Hosts that are not live, whose digest is stale, or on which the task does
 * not fit are left out.
 *
 * Return: the number of hosts in @ranked.
 */
uint32_t
FvHostRanking_Build(const fv_hosts_t *hosts, const fv_host_t *self,
                    const fv_workload_t *workload, int64_t waited_ms,
                    int64_t now_ms, uint64_t random, const fv_host_t **ranked,
                    uint32_t limit)
{
    candidate_t candidates[Fv_HOSTS_MAX];
    uint32_t count = 0;

    if (limit > 0) {
        ranked[count++] = self;
    }
    for (int i = 0; i < DISTANCE_COUNT && count < limit; i++) {
        uint32_t remaining;

        if (i == DISTANCE_REMOTE && waited_ms < remote_after_ms(workload)) {
            break;
        }
        remaining = collect_candidates(hosts, self, workload, (distance_t)i,
                                       now_ms, candidates);
        while (remaining > 0 && count < limit) {
            ranked[count++] = take_candidate(candidates, remaining--, &random);
        }
    }
    return count;
}
