/*
 * The simulated cell: leaders, their leadership and splits of the cell.
 */

#include "sched-sim-internal.h"

/* Workers, of 100, that both leaders of a split cell reach, and that neither
 * does. */
#define REACHED_BY_BOTH_PERCENT 8
#define REACHED_BY_NONE_PERCENT 8

/**
 * FvSim_FindLeader - find a leader that acts
 * @sim: the cell
 * @generation: its generation
 *
 * Return: the leader, or NULL.
 */
sim_leader_t *
FvSim_FindLeader(const sim_t *sim, int32_t generation)
{
    sim_leader_t *leader = sim->leader;

    while (leader != NULL && leader->generation != generation) {
        leader = leader->earlier;
    }
    return leader;
}

/**
 * FvSim_IsCutFromStore - whether the store does not answer a leader
 * @leader: the leader
 *
 * Return: true when nothing that it writes is recorded now.
 */
bool
FvSim_IsCutFromStore(const sim_leader_t *leader)
{
    const sim_t *sim = leader->sim;

    return sim->now_ms < leader->store_cut_until_ms ||
           sim->now_ms < sim->store_out_until_ms;
}

/**
 * FvSim_Reaches - whether a leader reaches a worker
 * @leader: the leader
 * @worker: index of the worker
 *
 * Return: false while the worker is on another side of a split.
 */
bool
FvSim_Reaches(const sim_leader_t *leader, uint32_t worker)
{
    return leader->sim->now_ms >= leader->reached_from_ms[worker];
}

/**
 * FvSim_IsEntryLost - whether a worker can't write its entry
 * @sim: the cell
 * @worker: the worker
 *
 * Return: true when its entry expires.
 */
bool
FvSim_IsEntryLost(const sim_t *sim, const sim_worker_t *worker)
{
    return FvSim_IsUnresponsive(sim, worker) ||
           sim->now_ms < worker->store_cut_until_ms;
}

/**
 * FvSim_PublishEntry - write a worker's entry to the store
 * @sim: the cell
 * @worker: the worker
 *
 * The leaders that reach the store read it at once.
 */
void
FvSim_PublishEntry(sim_t *sim, sim_worker_t *worker)
{
    if (sim->now_ms < worker->store_cut_until_ms) {
        worker->entry_removed_ms = sim->now_ms; /* written when it can be */
        return;
    }
    for (sim_leader_t *leader = sim->leader; leader != NULL;
         leader = leader->earlier) {
        if (FvSim_IsCutFromStore(leader)) {
            leader->registry_outdated = true;
        }
        else {
            FvSched_UpdateWorker(&leader->sched, &worker->entry, sim->now_ms);
        }
    }
}

static void
add_worker(sim_leader_t *leader, const sim_worker_t *worker)
{
    const sim_t *sim = leader->sim;
    bool listed = sim->now_ms >= worker->store_cut_until_ms ||
                  worker->entry_removed_ms == 0 ||
                  sim->now_ms < worker->entry_removed_ms;
    fv_worker_entry_t entry = {0};
    fv_sched_worker_t *sched_worker;

    /* What the stored worker list tells. */
    FvText_Copy(entry.id, sizeof(entry.id), worker->entry.id);
    FvText_Copy(entry.address, sizeof(entry.address), worker->entry.address);
    FvText_Copy(entry.service, sizeof(entry.service), worker->entry.service);
    sched_worker = FvSched_UpdateWorker(
        &leader->sched, listed ? &worker->entry : &entry, sim->now_ms);
    sched_worker->listed = listed;
    sched_worker->in_worker_list = true;
    if (worker->stored_lease_left_ms > 0) {
        FvSched_InheritLongLease(sched_worker, worker->stored_lease_left_ms,
                                 sim->now_ms);
    }
    sched_worker->inherited = leader->generation > 1 && !sim->handed_over;
    sched_worker->unreached = worker->unreached_since_ms != 0;
    sched_worker->unreached_since_ms = worker->unreached_since_ms;
}

static void
load_job(sim_leader_t *leader, sim_job_t *job)
{
    int64_t now_ms = leader->sim->now_ms;
    fv_sched_job_t *sched_job;

    if (job->job_record.data == NULL || job->ended != NULL) {
        return;
    }
    sched_job = FvSchedRecord_LoadJob(&leader->sched, job->id,
                                      &job->job_record, now_ms, now_ms);
    CU_ASSERT_PTR_NOT_NULL_FATAL(sched_job);
    if (sched_job == NULL) {
        abort();
    }
    FvSim_SetJobCustomer(leader->sim, job, sched_job);
    sched_job->durable = true;
    job->accepted = true;
    if (job->progress_record.data != NULL) {
        CU_ASSERT_TRUE(
            FvSchedRecord_LoadProgress(sched_job, &job->progress_record));
    }
    FvSched_MarkJobInherited(sched_job);
    FvSched_ReleaseStages(&leader->sched, sched_job, now_ms, now_ms);
}

/**
 * FvSim_BeginLeader - elect a leader
 * @sim: the cell
 * @earlier: the leader before it that acts on, or NULL
 *
 * Return: the leader, with what the store holds.
 */
sim_leader_t *
FvSim_BeginLeader(sim_t *sim, sim_leader_t *earlier)
{
    sim_leader_t *leader = calloc(1, sizeof(*leader));

    CU_ASSERT_PTR_NOT_NULL_FATAL(leader);
    if (leader == NULL) {
        abort();
    }
    sim->result->leaders++;
    leader->sim = sim;
    leader->earlier = earlier;
    leader->generation = ++sim->generation;
    leader->since_ms = sim->now_ms;
    leader->confirmed_ms = sim->now_ms;
    leader->earlier_stopped_ms =
        earlier == NULL && sim->now_ms >= sim->split_until_ms ? sim->now_ms
                                                              : INT64_MAX;
    memcpy(leader->reached_from_ms, sim->reached_from_ms,
           sizeof(leader->reached_from_ms));
    FvSched_Init(&leader->sched, &Fv_SIM_OPS,
                 &(fv_sched_timeouts_t){.lease_ms = LEASE_MS,
                                        .lease_max_ms = LEASE_MAX_MS,
                                        .stop_max_ms = STOP_MS,
                                        .gang_refill_ms = GANG_REFILL_MS});
    leader->sched.run_base = (leader->generation - 1) * 1000;
    leader->sched.hold_inherited_tasks = true;
    for (uint32_t w = 0; w < sim->plan->workers; w++) {
        add_worker(leader, &sim->workers[w]);
    }
    FvSim_LearnCaps(leader);
    for (uint32_t j = 0; j < sim->job_count; j++) {
        load_job(leader, &sim->jobs[j]);
    }
    return leader;
}

/**
 * FvSim_FreeLeader - end a leader
 * @leader: the leader
 */
void
FvSim_FreeLeader(sim_leader_t *leader)
{
    FvSched_Clear(&leader->sched);
    free(leader);
}

/**
 * FvSim_ReplaceLeader - end the latest leader and elect another one
 * @sim: the cell
 */
void
FvSim_ReplaceLeader(sim_t *sim)
{
    sim_leader_t *former = sim->leader;
    sim_leader_t *leader = FvSim_BeginLeader(sim, former->earlier);

    sim->leader = leader;
    sim->handover_ms = 0;
    sim->election_ms = 0;
    memcpy(leader->report_requested_ms, former->report_requested_ms,
           sizeof(leader->report_requested_ms));
    sim->absent_until_ms =
        sim->now_ms +
        FvSim_RandomBelow(sim, sim->plan->faults.leader_absence_ms + 1);
    if (sim->absent_until_ms < sim->store_out_until_ms) {
        sim->absent_until_ms = sim->store_out_until_ms;
    }
    leader->since_ms = sim->absent_until_ms;
    leader->confirmed_ms = leader->since_ms;
    if (leader->earlier_stopped_ms != INT64_MAX) {
        leader->earlier_stopped_ms = leader->since_ms;
    }
    else if (!FvSim_IsCutFromStore(former)) {
        /* The leaders before the former one had lost their leases when it was
         * elected. */
        leader->earlier_stopped_ms =
            former->since_ms + ORDER_GRACE_MS > leader->since_ms
                ? former->since_ms + ORDER_GRACE_MS
                : leader->since_ms;
    }
    FvSim_FreeLeader(former);
}

/**
 * FvSim_EarlierStoppedMs - by when all earlier leaders have stopped
 * @leader: the leader
 *
 * Hosts of different sides learn nothing of each other.
 *
 * Return: the time, as far as the leader knows.
 */
int64_t
FvSim_EarlierStoppedMs(sim_leader_t *leader)
{
    const sim_t *sim = leader->sim;
    int64_t latest_ms = leader->since_ms + ORDER_GRACE_MS;

    if (leader->earlier_stopped_ms > sim->now_ms && leader->earlier == NULL &&
        sim->now_ms >= sim->split_until_ms) {
        leader->earlier_stopped_ms = sim->now_ms;
    }
    return leader->earlier_stopped_ms < latest_ms ? leader->earlier_stopped_ms
                                                  : latest_ms;
}

/**
 * FvSim_ReleaseInheritedTasks - start the tasks of earlier leaders when their
 * runs are known
 * @leader: the leader
 */
void
FvSim_ReleaseInheritedTasks(sim_leader_t *leader)
{
    int64_t now_ms = leader->sim->now_ms;
    bool leases_expired = FvSched_LedAt(
        &leader->sched, FvSim_EarlierStoppedMs(leader) +
                            FvSched_WorstCaseLeaseMs(&leader->sched));

    FvSim_NoteExpiredLeases(leader);
    if (leader->sched.hold_inherited_tasks &&
        FvSched_KnowsInheritedRuns(&leader->sched, leases_expired, now_ms)) {
        leader->sched.hold_inherited_tasks = false;
        leader->sched.dirty = true;
    }
}

static void
cut_off_worker(sim_t *sim, uint32_t index, int64_t until_ms,
               uint32_t near_percent)
{
    uint32_t side = FvSim_RandomBelow(sim, 100);
    bool by_both = side < REACHED_BY_BOTH_PERCENT;
    bool by_none =
        !by_both && side < REACHED_BY_BOTH_PERCENT + REACHED_BY_NONE_PERCENT;
    bool near = FvSim_RandomBelow(sim, 100) < near_percent;
    int64_t *reached_from_ms = sim->leader->reached_from_ms;
    sim_worker_t *worker = &sim->workers[index];

    if (!by_both && (by_none || !near) && reached_from_ms[index] < until_ms) {
        reached_from_ms[index] = until_ms;
    }
    if (!by_both && (by_none || near) &&
        sim->reached_from_ms[index] < until_ms) {
        sim->reached_from_ms[index] = until_ms;
        worker->store_cut_until_ms = until_ms;
        if (worker->entry_removed_ms == 0) {
            worker->entry_removed_ms =
                sim->now_ms + ENTRY_EXPIRY_MS +
                (FvSim_RandomBelow(sim, 2) == 0 ? FvSim_RandomBelow(sim, 9000)
                                                : 0);
        }
    }
}

/**
 * FvSim_SplitCell - cut the leader off from the store and a part of the
 * workers
 * @sim: the cell
 *
 * Each worker is reached by the leader or by those that the other hosts elect,
 * few of them by both or by none. Workers on the leader's side are cut off
 * from the store as well.
 */
void
FvSim_SplitCell(sim_t *sim)
{
    sim_leader_t *leader = sim->leader;
    int64_t until_ms;
    uint32_t near_percent;

    if (FvSim_IsCutFromStore(leader) || sim->now_ms < leader->since_ms) {
        return;
    }
    until_ms = sim->now_ms + 1 + FvSim_RandomBelow(sim, SPLIT_MAX_MS);
    sim->handover_ms = 0;
    sim->election_ms =
        sim->now_ms + ELECTION_MIN_MS +
        FvSim_RandomBelow(sim, ELECTION_MAX_MS - ELECTION_MIN_MS);
    if (sim->election_ms >= until_ms) {
        sim->election_ms = 0;
    }
    leader->store_cut_until_ms = until_ms;
    leader->resigns_ms =
        FvSim_RandomBelow(sim, 4) == 0
            ? sim->now_ms + FEW_HOSTS_MS
            : until_ms + FvSim_RandomBelow(sim, SPLIT_NOTICED_MAX_MS);
    if (sim->split_until_ms < until_ms) {
        sim->split_until_ms = until_ms;
    }
    near_percent = 10 + FvSim_RandomBelow(sim, 81);
    for (uint32_t w = 0; w < sim->plan->workers; w++) {
        cut_off_worker(sim, w, until_ms, near_percent);
    }
}

/**
 * FvSim_CutStore - have the store answer no host for a while
 * @sim: the cell
 */
void
FvSim_CutStore(sim_t *sim)
{
    if (sim->now_ms >= sim->store_out_until_ms) {
        sim->store_out_until_ms =
            sim->now_ms + 1 + FvSim_RandomBelow(sim, STORE_OUTAGE_MAX_MS);
    }
}

static void
renew_leadership(sim_leader_t *leader)
{
    int64_t now_ms = leader->sim->now_ms;

    if (FvSim_IsCutFromStore(leader) || now_ms < leader->since_ms) {
        leader->renewal_sent_ms = 0;
        return;
    }
    if (leader->renewal_sent_ms != 0 &&
        now_ms == leader->renewal_sent_ms + RENEWAL_ANSWER_MS) {
        leader->confirmed_ms = leader->renewal_sent_ms;
        FvSched_ConfirmLead(&leader->sched, leader->confirmed_ms);
    }
    if (now_ms >= leader->renewal_sent_ms + RENEWAL_INTERVAL_MS) {
        leader->renewal_sent_ms = now_ms;
    }
}

/* After an outage of the store, a leader reads the registry again. */
static void
read_registry(sim_leader_t *leader)
{
    sim_t *sim = leader->sim;

    if (!leader->registry_outdated || FvSim_IsCutFromStore(leader)) {
        return;
    }
    leader->registry_outdated = false;
    for (uint32_t w = 0; w < sim->plan->workers; w++) {
        if (sim->workers[w].entry_removed_ms == 0) {
            FvSched_UpdateWorker(&leader->sched, &sim->workers[w].entry,
                                 sim->now_ms);
        }
    }
}

static bool
has_stopped(const sim_leader_t *leader)
{
    const sim_t *sim = leader->sim;

    return leader->deposed ||
           sim->now_ms > leader->confirmed_ms + ORDER_GRACE_MS ||
           (leader != sim->leader && sim->now_ms >= leader->resigns_ms);
}

static void
elect_on_other_side(sim_t *sim)
{
    sim_leader_t *earlier = sim->leader;

    sim->election_ms = 0;
    sim->handed_over = false;
    sim->result->splits++;
    earlier->store_cut_until_ms = INT64_MAX; /* its writes are refused */
    sim->leader = FvSim_BeginLeader(sim, earlier);
    sim->absent_until_ms = sim->now_ms;
}

/**
 * FvSim_UpdateLeaders - renew the leadership, elect and depose leaders
 * @sim: the cell
 */
void
FvSim_UpdateLeaders(sim_t *sim)
{
    sim_leader_t **link = &sim->leader->earlier;

    while (*link != NULL) {
        sim_leader_t *leader = *link;

        if (has_stopped(leader)) {
            *link = leader->earlier;
            FvSim_FreeLeader(leader);
        }
        else {
            link = &leader->earlier;
        }
    }
    renew_leadership(sim->leader);
    read_registry(sim->leader);
    if (sim->now_ms >= sim->leader->store_cut_until_ms) {
        sim->election_ms = 0; /* the split is over */
    }
    if (sim->election_ms != 0 && sim->now_ms >= sim->election_ms &&
        sim->now_ms >= sim->store_out_until_ms) {
        elect_on_other_side(sim);
    }
    if (has_stopped(sim->leader) && sim->now_ms >= sim->leader->since_ms) {
        sim->handed_over = false;
        FvSim_ReplaceLeader(sim);
    }
}
