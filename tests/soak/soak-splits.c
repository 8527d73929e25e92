/*
 * Splits of the soak: the leader with some hosts and workers on one side, most
 * often without the store. They come in series, alone or overlapping with all
 * other faults, which have draws of their own.
 */

#include "soak.h"

#include <string.h>

#define SPLIT_FIRST_MS 2000 /* until jobs run */
#define SPLIT_MIN_MS 300
#define SPLIT_EVEN_MIN_MS 8000
#define SPLIT_MAX_MS 15000
#define SPLIT_SERIES_GAP_MS 1500
#define SPLIT_PAUSE_MS 5000

/* From the end of the other faults to a split that comes alone: a leader is
 * elected and reaches the hosts and workers. */
#define SPLIT_SETTLE_MS 2500

/* An earlier leader tells the states of its jobs. */
#define SPLIT_STALE_MS 7000
/* An answer from before the end of a split arrives. */
#define SPLIT_ENDED_MS 500

typedef struct soak_splits {
    uint64_t random;
    int64_t next_ms;
    bool alone; /* the next or current one */
    bool even;  /* the same: see even_split() */
} soak_splits_t;

static uint32_t
draw(soak_splits_t *splits, uint32_t limit)
{
    return FvSoak_Random(&splits->random, limit);
}

/* Puts all but some hosts on the second side, never the leader. */
static void
choose_hosts(soak_splits_t *splits, const soak_t *soak, int leader,
             uint32_t near, entry_split_t *split)
{
    uint32_t hosts = (uint32_t)soak->hosts;
    uint32_t first = (uint32_t)leader + 1 + draw(splits, near);

    for (uint32_t i = 0; near + i < hosts; i++) {
        split->hosts[(first + i) % hosts] = true;
    }
}

/* Half of the hosts, more than half, any number, or the leader alone. */
static uint32_t
draw_near_hosts(soak_splits_t *splits, uint32_t hosts)
{
    uint32_t half = (hosts + 1) / 2;
    uint32_t kind = draw(splits, 8);

    return kind < 3   ? half
           : kind < 5 ? half + draw(splits, hosts / 2 + 1)
           : kind < 7 ? 1 + draw(splits, hosts)
                      : 1;
}

/* Any sides, length and direction. Returns the length. */
static int64_t
any_split(soak_splits_t *splits, const soak_t *soak, int leader,
          entry_split_t *split)
{
    uint32_t one_way = draw(splits, 8);

    choose_hosts(splits, soak, leader,
                 draw_near_hosts(splits, (uint32_t)soak->hosts), split);
    split->store = draw(splits, 4) != 0;
    split->advice = draw(splits, 2) == 0;
    split->from_first_arrives = one_way == 0;
    split->from_second_arrives = one_way == 1;
    return SPLIT_MIN_MS + draw(splits, SPLIT_MAX_MS - SPLIT_MIN_MS);
}

/* A leader that goes on for as long as it may, with half of the hosts, while
 * its successor next to the store adopts the runs of its workers. Returns the
 * length. */
static int64_t
even_split(soak_splits_t *splits, const soak_t *soak, int leader,
           entry_split_t *split)
{
    choose_hosts(splits, soak, leader, ((uint32_t)soak->hosts + 1) / 2, split);
    split->store = true;
    return SPLIT_EVEN_MIN_MS + draw(splits, SPLIT_MAX_MS - SPLIT_EVEN_MIN_MS);
}

static void
print_split(const soak_t *soak, const entry_split_t *split, int leader,
            int64_t length_ms)
{
    char hosts[ENTRY_CELL_HOSTS_MAX + 1] = "";
    char workers[ENTRY_CELL_WORKERS_MAX + 1] = "";

    for (int i = 0; i < soak->hosts; i++) {
        hosts[i] = split->hosts[i] ? '2' : '1';
    }
    for (int i = 0; i < soak->workers; i++) {
        workers[i] = split->workers[i] ? '2' : '1';
    }
    printf("  split hosts=%s workers=%s store=%d advice=%d leader=%d%s%s for "
           "%lld ms\n",
           hosts, workers, split->store ? 2 : 1, split->advice ? 2 : 1, leader,
           split->from_first_arrives ? " from side 2 only" : "",
           split->from_second_arrives ? " from side 1 only" : "",
           (long long)length_ms);
}

static void
split_cell(soak_splits_t *splits, soak_t *soak, int64_t now_ms)
{
    entry_split_t split = {0};
    int leader = FvEntryCell_Leader(&soak->cell);
    int64_t length_ms;

    if (leader < 0 || leader >= soak->hosts) {
        leader = (int)draw(splits, (uint32_t)soak->hosts);
    }
    length_ms = splits->even ? even_split(splits, soak, leader, &split)
                             : any_split(splits, soak, leader, &split);
    for (int i = 0; i < soak->workers; i++) {
        split.workers[i] = draw(splits, 2) == 0;
    }
    print_split(soak, &split, leader, length_ms);
    pthread_mutex_lock(&soak->lock);
    soak->split = split;
    soak->split_began_ms = FvClock_NowMs();
    soak->split_ended_ms = INT64_MAX;
    pthread_mutex_unlock(&soak->lock);
    FvEntryCell_Split(&soak->cell, &split);
    soak->split_until_ms = now_ms + length_ms;
}

static void
plan_next(soak_splits_t *splits, int64_t now_ms)
{
    bool series = draw(splits, 2) == 0;

    splits->next_ms =
        now_ms + draw(splits, series ? SPLIT_SERIES_GAP_MS : SPLIT_PAUSE_MS);
    splits->even = draw(splits, 2) == 0;
    splits->alone = splits->even || draw(splits, 2) == 0;
    if (splits->alone) {
        splits->next_ms += SPLIT_SETTLE_MS;
    }
}

/**
 * FvSoakSplits_Inject - split the cell when the next split is due
 * @soak: the soak
 * @now_ms: the time
 *
 * Return: false while a split comes or lasts that is to be alone, without
 * other faults.
 */
bool
FvSoakSplits_Inject(soak_t *soak, int64_t now_ms)
{
    static soak_splits_t splits;

    if (!soak->splits) {
        return true;
    }
    if (splits.random == 0) {
        splits.random = soak->seed * UINT64_C(0xa0761d6478bd642f) | 1;
        plan_next(&splits, now_ms + SPLIT_FIRST_MS);
    }
    if (soak->split_until_ms == 0 && splits.next_ms == 0) {
        plan_next(&splits, now_ms);
    }
    if (soak->split_until_ms == 0 && now_ms >= splits.next_ms) {
        split_cell(&splits, soak, now_ms);
        splits.next_ms = 0;
    }
    return !splits.alone || now_ms < splits.next_ms - SPLIT_SETTLE_MS;
}

/**
 * FvSoakSplits_IsStale - check whether a host may tell an earlier state of a
 * job now
 * @soak: the soak
 * @host: the host
 *
 * An earlier leader goes on for 6 s after its last renewal, and tells the
 * states queued and running as it knows them; those of its successor it cannot
 * know.
 *
 * Return: true while the host is on the side without the store, in the first
 * 7 s of a split.
 */
bool
FvSoakSplits_IsStale(soak_t *soak, int host)
{
    int64_t now_ms = FvClock_NowMs();
    bool stale;

    pthread_mutex_lock(&soak->lock);
    stale = soak->split_began_ms != 0 &&
            soak->split.hosts[host] != soak->split.store &&
            now_ms < soak->split_began_ms + SPLIT_STALE_MS &&
            now_ms < soak->split_ended_ms + SPLIT_ENDED_MS;
    soak->stale += stale ? 1 : 0;
    pthread_mutex_unlock(&soak->lock);
    return stale;
}

/**
 * FvSoakSplits_ClearDue - end a split that is over
 * @soak: the soak
 * @now_ms: the time; INT64_MAX ends any
 */
void
FvSoakSplits_ClearDue(soak_t *soak, int64_t now_ms)
{
    if (soak->split_until_ms != 0 && now_ms >= soak->split_until_ms) {
        printf("  split ends\n");
        FvEntryCell_Split(&soak->cell, NULL);
        soak->split_until_ms = 0;
        pthread_mutex_lock(&soak->lock);
        soak->split_ended_ms = FvClock_NowMs();
        pthread_mutex_unlock(&soak->lock);
    }
}
