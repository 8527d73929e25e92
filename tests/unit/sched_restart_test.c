/*
 * Restarts of workers under their id, and what of an earlier incarnation must
 * not be taken for the present one.
 */

#include "sched-fixture.h"
#include "suite.h"

/* A worker that did not answer may have restarted, so that its next report may
 * be the first of another incarnation, with ends that nobody has read. */
static void
test_silent_worker_gets_no_acknowledgement(void)
{
    static sched_fixture_t fixture;
    fv_sched_worker_t *worker;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    FvSchedFixture_ReportEnd(&fixture, "w1", 3, "unknown", 1, Fv_END_DONE);
    CU_ASSERT_FALSE(FvSched_EndsRecorded(worker, 3));
    FvSched_ReportUnanswered(&fixture.sched, worker, fixture.now_ms);
    CU_ASSERT_EQUAL(FvSched_EndToAcknowledge(worker), 0);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a worker that may have restarted is told to drop ends",
         test_silent_worker_gets_no_acknowledgement},
    };

    return Fv_RUN_SUITE("sched_restart", cases);
}
