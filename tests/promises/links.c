/*
 * Guards against a link that is closed although both hosts are healthy. While
 * a link is down, each host considers the other dead and gives it no work.
 */

#include "cluster.h"
#include "suite.h"

#include <time.h>

#define WATCH_MS 6000
#define POLL_MS 50

static const topology_site_t sites[] = {
    {.region = "auckland", .data_center = "auckland-1", .hosts = 1},
    {.region = "wellington", .data_center = "wellington-1", .hosts = 1}};
static const char *const members[] = {"kotuku"};
static const topology_t topology = {
    .sites = sites, .site_count = 2, .members = members, .member_count = 1};

/* Whether a host reports both hosts as alive. */
static bool
sees_all_alive(cluster_t *cluster, int host)
{
    json_t *reply = NULL;
    size_t index;
    json_t *entry;
    size_t alive = 0;

    FvApi_Call(cluster, host, "kotuku", "GET", "/v1/hosts", NULL, &reply);
    json_array_foreach(json_object_get(reply, "hosts"), index, entry)
    {
        alive += json_is_true(json_object_get(entry, "alive")) ? 1 : 0;
    }
    json_decref(reply);
    return alive == 2;
}

static bool
both_see_all_alive(void *context)
{
    return sees_all_alive(context, 0) && sees_all_alive(context, 1);
}

static void
test_idle_link_stays_up(void)
{
    const struct timespec delay = {.tv_nsec = POLL_MS * Fv_NS_PER_MS};
    cluster_t cluster;
    int64_t until_ms;
    int failed_polls = 0;

    CU_ASSERT_TRUE_FATAL(FvCluster_Start(&cluster, &topology));
    CU_ASSERT_TRUE(
        FvWait_Until(both_see_all_alive, &cluster, CLUSTER_START_TIMEOUT_MS));
    until_ms = FvClock_NowMs() + WATCH_MS;
    while (FvClock_NowMs() < until_ms) {
        failed_polls += both_see_all_alive(&cluster) ? 0 : 1;
        nanosleep(&delay, NULL);
    }
    CU_ASSERT_EQUAL(failed_polls, 0);
    FvCluster_Close(&cluster);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"an idle link between regions is closed", test_idle_link_stays_up},
    };

    return Fv_RUN_SUITE("links", cases);
}
