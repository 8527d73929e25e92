/*
 * Measures what callers get under the loads of the broadcast customer's cell,
 * in simulated time without processes or network: demand that swings, and a
 * burst of each queue at a crest, on equal workers and with a third of slow
 * ones.
 *
 * load [SEEDS [BURSTS [CELLS]]]: BURSTS are initials of queues, n for none; a
 * cell of CELLS times the size runs for the first crest only.
 */

#include "load-sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* With these the mean demand is 15,100 of 22,400 cores, as measured, with
 * equal workers and with a third of them slower by 2.4. */
#define EQUAL_SCALE 1.09
#define SLOW_SCALE 0.74

static void
run(const char *name, uint64_t seed, double scale, bool slow,
    const double *factors, uint32_t cells)
{
    load_plan_t plan;
    load_result_t result;

    FvLoadSim_Broadcast(&plan);
    plan.seed = seed;
    plan.slow_share = slow ? plan.slow_share : 0.0;
    for (uint32_t q = 0; q < plan.queue_count; q++) {
        plan.queues[q].run_ms =
            (int64_t)((double)plan.queues[q].run_ms * scale);
        plan.burst_factors[q] = factors[q];
    }
    if (cells > 1) { /* only the first crest, for the cost of the passes */
        plan.workers *= cells;
        plan.traffic_ms = plan.swing_period_ms / 2;
        plan.last_ms = plan.traffic_ms;
        for (uint32_t q = 0; q < plan.queue_count; q++) {
            plan.queues[q].jobs_per_s *= cells;
        }
    }
    FvLoadSim_Run(&plan, &result);
    printf("-- %s, %s workers, seed %u\n", name, slow ? "unequal" : "equal",
           (unsigned)seed);
    FvLoadSim_Print(&plan, &result);
    fflush(stdout);
}

int
main(int argc, char **argv)
{
    static const double crests[][Fv_LOAD_QUEUES_MAX] = {
        {1.0, 2.2, 1.0}, {1.0, 1.0, 2.2}, {2.2, 1.0, 1.0}, {1.0, 1.0, 1.0}};
    static const char *const names[] = {"gangs x 2.2", "batch x 2.2",
                                        "urgent x 2.2", "no burst"};
    uint32_t cells = argc > 3 ? (uint32_t)strtoul(argv[3], NULL, 10) : 1;
    uint64_t seeds = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;

    for (uint64_t seed = 1; seed <= seeds; seed++) {
        for (int i = 0; i < 4; i++) {
            if (argc > 2 && strchr(argv[2], names[i][0]) == NULL) {
                continue;
            }
            run(names[i], seed, EQUAL_SCALE, false, crests[i], cells);
            run(names[i], seed, SLOW_SCALE, true, crests[i], cells);
        }
    }
    return 0;
}
