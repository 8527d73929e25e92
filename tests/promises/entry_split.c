/*
 * Guards against a leader that starts tasks again which its successor has
 * adopted. The cell splits in two for 10 s: the leader, half of the hosts and
 * half of the workers are on one side; the store, the advice service, the
 * other hosts and the other workers on the other one. The other side elects a
 * leader, which renews the leases of its workers, while the earlier one may
 * give orders for 6 s after its last renewal of the leadership.
 */

#include "entry-cell.h"
#include "fake-server.h"
#include "suite.h"

#define HOSTS 6
#define WORKERS 8
#define LEADER_MS 10000
#define LINKED_MS 1500
#define RUNNING_MS 2000
#define SPLIT_MS 10000
#define HEALED_MS 5000

/* Hosts on the leader's side, the leader included. */
#define HALF (HOSTS / 2)
#define MINORITY 2

static const char long_job[] =
    "{\"taskSpec\":\"no_ticket cpu=800 run_ms=9000\",\"steps\":[{\"count\":40,"
    "\"cpu\":800,\"memMb\":10,\"estimatedMs\":9000}]}";

static const char short_job[] =
    "{\"taskSpec\":\"no_ticket cpu=800 run_ms=4500\",\"steps\":[{\"count\":40,"
    "\"cpu\":800,\"memMb\":10,\"estimatedMs\":4500}]}";

static const char small_job[] =
    "{\"taskSpec\":\"no_ticket cpu=800 run_ms=9000\",\"steps\":[{\"count\":16,"
    "\"cpu\":800,\"memMb\":10,\"estimatedMs\":9000}]}";

static const char gang_job[] =
    "{\"taskSpec\":\"no_ticket cpu=2000 run_ms=9000\",\"steps\":[{\"count\":6,"
    "\"gang\":true,\"cpu\":2000,\"memMb\":10,\"estimatedMs\":9000}]}";

/* Half of the workers and some hosts are on the side of the leader. */
static void
split_beside_leader(const entry_cell_t *cell, int leader, int hosts)
{
    entry_split_t split = {.store = true, .advice = true};

    for (int i = hosts; i < HOSTS; i++) {
        split.hosts[(leader + i) % HOSTS] = true;
    }
    for (int i = 1; i < WORKERS; i += 2) {
        split.workers[i] = true;
    }
    CU_ASSERT_TRUE_FATAL(FvEntryCell_Split(cell, &split));
}

static bool
fault_link(const entry_cell_t *cell, int host, const char *mode)
{
    char address[64];
    char body[160];

    FvEntryCell_Route(cell, host, ENTRY_ROUTE_LINK, address, sizeof(address));
    snprintf(body, sizeof(body), "{\"route\":\"%s\",\"mode\":\"%s\"}", address,
             mode);
    return FvEntryCell_ProxyFault(cell, body);
}

/* The network resets the links between the sides and refuses new ones to the
 * earlier leader. */
static void
refuse_links(const entry_cell_t *cell, int leader)
{
    CU_ASSERT_TRUE(fault_link(cell, leader, "cut"));
    for (int i = HALF; i < HOSTS; i++) {
        CU_ASSERT_TRUE(fault_link(cell, (leader + i) % HOSTS, "cut"));
        CU_ASSERT_TRUE(fault_link(cell, (leader + i) % HOSTS, "restore"));
    }
}

/* Splits a cell that runs a job, and checks that no task ran twice. */
static void
run_split(const char *job, int hosts, bool refused)
{
    static entry_cell_t cell;
    const entry_cell_options_t options = {.name = "entry-split",
                                          .hosts = HOSTS,
                                          .workers = WORKERS,
                                          .splits = true};
    json_t *report;
    uint32_t adopted;
    int leader;
    int successor;

    CU_ASSERT_TRUE_FATAL(FvEntryCell_Start(&cell, &options) &&
                         FvEntryCell_WaitLeader(&cell, -1, LEADER_MS) >= 0);
    FvFake_SleepMs(LINKED_MS);
    leader = FvEntryCell_Leader(&cell);
    CU_ASSERT_TRUE_FATAL(leader >= 0);
    CU_ASSERT_EQUAL(FvEntryCell_Call(&cell, leader, "POST",
                                     "/plain/00000000000000b0", job, NULL, 0),
                    200);
    FvFake_SleepMs(RUNNING_MS);
    split_beside_leader(&cell, leader, hosts);
    if (refused) {
        refuse_links(&cell, leader);
    }
    successor = FvEntryCell_WaitLeader(&cell, leader, SPLIT_MS / 2);
    CU_ASSERT_TRUE_FATAL(successor >= 0);
    CU_ASSERT_FALSE(
        FvEntryCell_LogHas(&cell, leader, "event=leadership_lost"));
    FvFake_SleepMs(SPLIT_MS / 2);
    adopted = FvEntryCell_CountLog(&cell, successor, "event=run_adopted");
    CU_ASSERT_TRUE(adopted > 0);
    CU_ASSERT_TRUE(FvEntryCell_LogHas(&cell, leader, "event=worker_silent"));
    CU_ASSERT_EQUAL(
        FvEntryCell_LogHas(&cell, leader, "cause=few_hosts_reached"),
        hosts < HALF);
    CU_ASSERT_EQUAL(FvEntryCell_LogHas(&cell, successor, "dead=1"), refused);
    FvFake_SleepMs(SPLIT_MS / 2);
    CU_ASSERT_TRUE(FvEntryCell_Split(&cell, NULL));
    CU_ASSERT_TRUE(fault_link(&cell, leader, "restore"));
    FvFake_SleepMs(HEALED_MS);
    report = FvEntryCell_Report(&cell);
    printf("leader=%d successor=%d adopted=%u starts=%lld violations=%lld "
           "%s\n",
           leader, successor, adopted,
           (long long)FvJson_Int(report, "starts", -1),
           (long long)FvJson_Int(report, "violations", -1),
           FvJson_String(report, "first"));
    CU_ASSERT_EQUAL(FvJson_Int(report, "violations", -1), 0);
    json_decref(report);
    FvEntryCell_Stop(&cell);
}

/* Tasks that run on the other side for longer than the earlier leader may give
 * orders. */
static void
test_adopted_tasks_run_at_one_time(void)
{
    run_split(long_job, HALF, false);
}

/* Tasks that end on the other side before the earlier leader takes their
 * leases for expired. */
static void
test_adopted_tasks_start_after_their_end(void)
{
    run_split(short_job, HALF, false);
}

/* A gang with workers on both sides. */
static void
test_gang_over_both_sides(void)
{
    run_split(gang_job, HALF, false);
}

/* A leader that reaches few hosts resigns before the leases expire. */
static void
test_leader_in_the_minority(void)
{
    run_split(long_job, MINORITY, false);
}

/* The successor has room for the tasks that run on the other side. */
static void
test_refused_connection_to_the_earlier_leader(void)
{
    run_split(small_job, HALF, true);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"an earlier leader starts tasks that run on the other side",
         test_adopted_tasks_run_at_one_time},
        {"an earlier leader starts tasks that have ended on the other side",
         test_adopted_tasks_start_after_their_end},
        {"an earlier leader starts a gang that runs on both sides",
         test_gang_over_both_sides},
        {"an earlier leader that reaches few hosts starts tasks again",
         test_leader_in_the_minority},
        {"a leader whose host refuses connections is taken for stopped",
         test_refused_connection_to_the_earlier_leader},
    };

    return Fv_RUN_SUITE("entry_split", cases);
}
