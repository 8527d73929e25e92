/*
 * Fair shares and quotas: members are compared by their weighted dominant
 * share of the whole cell, which includes usage on other hosts.
 */

#include "fireflyvalve.h"
#include "suite.h"

static fv_contract_t contracts[] = {
    {.member = "a", .weight = 1, .quota = {.cpu_millis = 60}},
    {.member = "b", .weight = 2},
};
static const fv_config_t config = {.contract_count = 2,
                                   .contracts = contracts};
static const fv_resources_t cell_capacity = {
    .cpu_millis = 100, .memory_bytes = 1000, .slots = 10};

static fv_shares_t *shares;

static void
create_shares(void)
{
    shares = FvShares_New();
    FvShares_Configure(shares, &config);
    FvShares_SetCapacity(shares, &cell_capacity);
}

static void
test_dominant_resource_and_weight(void)
{
    fv_resources_t cpu = {.cpu_millis = 30, .memory_bytes = 100};
    fv_resources_t memory = {.cpu_millis = 10, .memory_bytes = 400};

    create_shares();
    FvShares_Add(shares, "a", &cpu);
    FvShares_Add(shares, "b", &memory);
    CU_ASSERT_DOUBLE_EQUAL(FvShares_DominantShare(shares, "a"), 0.3, 1e-9);
    CU_ASSERT_DOUBLE_EQUAL(FvShares_DominantShare(shares, "b"), 0.2, 1e-9);
    FvShares_Subtract(shares, "a", &cpu);
    CU_ASSERT_DOUBLE_EQUAL(FvShares_DominantShare(shares, "a"), 0, 1e-9);
    FvShares_Free(shares);
}

static void
test_remote_usage_is_counted_once(void)
{
    fv_resources_t used = {.cpu_millis = 50};
    fv_resources_t more = {.cpu_millis = 20};

    create_shares();
    FvShares_SetRemote(shares, "h1", "a", &more);
    FvShares_SetRemote(shares, "h1", "a", &used);
    CU_ASSERT_DOUBLE_EQUAL(FvShares_DominantShare(shares, "a"), 0.5, 1e-9);
    CU_ASSERT_FALSE(FvShares_WithinQuota(shares, "a", &more));
    FvShares_RemoveHost(shares, "h1");
    FvShares_RemoveHost(shares, "h1");
    CU_ASSERT_DOUBLE_EQUAL(FvShares_DominantShare(shares, "a"), 0, 1e-9);
    CU_ASSERT_TRUE(FvShares_WithinQuota(shares, "a", &more));
    FvShares_SetRemote(shares, "h1", "a", &used);
    CU_ASSERT_DOUBLE_EQUAL(FvShares_DominantShare(shares, "a"), 0.5, 1e-9);
    FvShares_Free(shares);
}

static void
test_quota_is_enforced(void)
{
    fv_resources_t fits = {.cpu_millis = 60, .memory_bytes = 900};
    fv_resources_t exceeds = {.cpu_millis = 61};

    create_shares();
    CU_ASSERT_TRUE(FvShares_WithinQuota(shares, "a", &fits));
    CU_ASSERT_FALSE(FvShares_WithinQuota(shares, "a", &exceeds));
    CU_ASSERT_TRUE(FvShares_WithinQuota(shares, "b", &exceeds));
    CU_ASSERT_FALSE(FvShares_WithinQuota(shares, "stranger", &fits));
    FvShares_Free(shares);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"shares ignore the dominant resource or the weight",
         test_dominant_resource_and_weight},
        {"usage on other hosts is ignored or counted twice",
         test_remote_usage_is_counted_once},
        {"a member exceeds its quota", test_quota_is_enforced},
    };

    return Fv_RUN_SUITE("share", cases);
}
