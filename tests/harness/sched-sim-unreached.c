/*
 * The simulated cell: the stored list of unreached workers, as leaders keep
 * it.
 */

#include "sched-sim-internal.h"

#define UNREACHED_AFTER_MS 700
#define UNREACHED_INTERVAL_MS 500
#define LEADER_LEASE_MS 1000

static bool
has_returned(const fv_sched_worker_t *worker)
{
    return worker->last_contact_ms != 0 && !worker->suspect;
}

static bool
has_runs_to_lose(const fv_sched_worker_t *worker, int64_t now_ms)
{
    return worker->listed && !worker->refused &&
           worker->lease_expires_ms >= now_ms;
}

static bool
may_add(sim_leader_t *leader, const fv_sched_worker_t *worker)
{
    int64_t now_ms = leader->sim->now_ms;

    return !worker->unreached && worker->suspect &&
           now_ms - worker->suspect_since_ms >= UNREACHED_AFTER_MS &&
           !has_runs_to_lose(worker, now_ms) &&
           worker->lease_expires_ms <=
               now_ms + FvSched_WorstCaseLeaseMs(&leader->sched) &&
           now_ms >= FvSim_EarlierStoppedMs(leader) &&
           (worker->last_contact_ms != 0 ||
            !leader->sched.hold_inherited_tasks);
}

static void
write_list(sim_leader_t *leader)
{
    sim_t *sim = leader->sim;
    sim_event_t event = {.kind = EVENT_UNREACHED_WRITTEN,
                         .generation = leader->generation,
                         .at_ms = sim->now_ms + RECORD_WRITE_MS};

    leader->unreached_writing = true;
    for (fv_sched_worker_t *worker = leader->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        worker->in_unreached_write =
            worker->unreached && !has_returned(worker);
        if (worker->in_unreached_write) {
            event.unreached |= UINT32_C(1)
                               << FvSim_WorkerIndex(sim, worker->entry.id);
        }
    }
    FvSim_Schedule(sim, event);
}

/**
 * FvSim_CheckUnreached - write the list of unreached workers if it changed
 * @leader: the leader
 */
void
FvSim_CheckUnreached(sim_leader_t *leader)
{
    int64_t now_ms = leader->sim->now_ms;
    bool may_add_any = now_ms >= leader->unreached_due_ms &&
                       now_ms < leader->confirmed_ms + LEADER_LEASE_MS;
    bool changed = false;

    if (!leader->sim->plan->unreached_list || leader->unreached_writing) {
        return;
    }
    for (fv_sched_worker_t *worker = leader->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        if (worker->unreached) {
            changed = changed || has_returned(worker);
        }
        else if (may_add_any && may_add(leader, worker)) {
            worker->unreached = true;
            changed = true;
        }
    }
    if (changed) {
        write_list(leader);
    }
}

/**
 * FvSim_UnreachedWritten - the store has the list of unreached workers
 * @leader: the leader that wrote it
 * @event: the write
 */
void
FvSim_UnreachedWritten(sim_leader_t *leader, const sim_event_t *event)
{
    sim_t *sim = leader->sim;

    for (uint32_t w = 0; w < sim->plan->workers; w++) {
        sim_worker_t *worker = &sim->workers[w];

        if ((event->unreached >> w & 1) == 0) {
            worker->unreached_since_ms = 0;
        }
        else if (worker->unreached_since_ms == 0) {
            worker->unreached_since_ms = sim->now_ms;
        }
    }
    leader->unreached_writing = false;
    leader->unreached_due_ms = sim->now_ms + UNREACHED_INTERVAL_MS;
    for (fv_sched_worker_t *worker = leader->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        if (worker->unreached && !worker->in_unreached_write) {
            worker->unreached = false;
            FvSim_RequestReport(leader,
                                FvSim_WorkerIndex(sim, worker->entry.id));
        }
    }
    leader->sched.dirty = true;
}

/**
 * FvSim_NoteExpiredLeases - note on which workers nothing runs that earlier
 * leaders started, since the list had them for longer than a lease
 * @leader: the leader
 */
void
FvSim_NoteExpiredLeases(sim_leader_t *leader)
{
    for (fv_sched_worker_t *worker = leader->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        worker->inherited_expired =
            worker->unreached && worker->last_contact_ms == 0 &&
            worker->unreached_since_ms != 0 &&
            FvSched_LedAt(&leader->sched,
                          worker->unreached_since_ms +
                              FvSched_WorstCaseLeaseMs(&leader->sched));
    }
}
