/*
 * Usage accounts: large totals saturate, small amounts accumulate, and the
 * saved accounts of several hosts are summed.
 */

#include "fixture.h"
#include "suite.h"

static fv_accounts_t *accounts;

static int64_t
account_field(const char *member, const char *name)
{
    json_t *account = FvAccounts_MemberToJson(accounts, member);
    int64_t value = json_integer_value(json_object_get(account, name));

    json_decref(account);
    return value;
}

static void
test_totals_saturate(void)
{
    fv_resources_t cell_capacity = {.cpu_millis = INT64_C(32000) * 5600,
                                    .memory_bytes = 128 * Fv_GIB * 5600,
                                    .accelerators = 5800};
    int64_t year_ms = INT64_C(365) * 86400 * 1000;

    accounts = FvAccounts_New();
    FvAccounts_Accrue(accounts, "m", &cell_capacity, year_ms);
    CU_ASSERT_EQUAL(account_field("m", "memory_mib_seconds"),
                    INT64_C(131072) * 5600 * (year_ms / 1000));
    CU_ASSERT_EQUAL(account_field("m", "cpu_milli_seconds"),
                    cell_capacity.cpu_millis * (year_ms / 1000));
    CU_ASSERT_EQUAL(account_field("m", "accelerator_milli_seconds"),
                    5800 * year_ms);
    for (int i = 0; i < 500; i++) {
        FvAccounts_Accrue(accounts, "m", &cell_capacity, year_ms);
    }
    CU_ASSERT_EQUAL(account_field("m", "memory_mib_seconds"), INT64_MAX);
    FvAccounts_Free(accounts);
}

static void
test_small_amounts_accumulate(void)
{
    fv_resources_t size = {.cpu_millis = 1, .memory_bytes = 1024};

    accounts = FvAccounts_New();
    for (int i = 0; i < 1024 * 1000; i++) {
        FvAccounts_Accrue(accounts, "m", &size, 1);
    }
    FvAccounts_Accrue(accounts, "m", &size, -5);
    CU_ASSERT_EQUAL(account_field("m", "cpu_milli_seconds"), 1024);
    CU_ASSERT_EQUAL(account_field("m", "memory_mib_seconds"), 1);
    CU_ASSERT_EQUAL(account_field("other", "cpu_milli_seconds"), 0);
    FvAccounts_Free(accounts);
}

static void
test_saved_accounts_are_summed(void)
{
    json_t *malformed =
        json_pack("{s:{s:i}, s:i}", "m", "cpu_milli_seconds", -7, "n", 3);
    fv_resources_t size = {.cpu_millis = 2000, .memory_bytes = Fv_GIB};
    fv_accounts_t *restored = FvAccounts_New();
    json_t *saved;
    json_t *restored_json;

    accounts = FvAccounts_New();
    FvAccounts_Accrue(accounts, "m", &size, 3000);
    saved = FvAccounts_ToJson(accounts);
    FvAccounts_AddJson(restored, saved);
    FvAccounts_AddJson(restored, malformed);
    restored_json = FvAccounts_ToJson(restored);
    CU_ASSERT_TRUE(json_equal(saved, restored_json));
    FvAccounts_AddJson(accounts, saved);
    FvAccounts_AddJson(accounts, malformed);
    CU_ASSERT_EQUAL(account_field("m", "cpu_milli_seconds"), 12000);
    CU_ASSERT_EQUAL(account_field("m", "memory_mib_seconds"), 6144);
    json_decref(saved);
    json_decref(restored_json);
    FvAccounts_Free(restored);
    json_decref(malformed);
    FvAccounts_Free(accounts);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a large product of memory and time overflows", test_totals_saturate},
        {"short intervals are rounded away", test_small_amounts_accumulate},
        {"saved accounts of several hosts are not summed",
         test_saved_accounts_are_summed},
    };

    return Fv_RUN_SUITE("account", cases);
}
