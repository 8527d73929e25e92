/*
 * Customers: which call is served for whom, and which requests the leader
 * returns to their host, without a network.
 */

#include "customer.h"
#include "suite.h"

#include <stdlib.h>
#include <string.h>

#define MANY_KEYS 5000
#define NOW_MS 100000

static char *east_keys[] = {"east-1", "east-2"};
static char *west_keys[] = {"west-1"};
static fv_cell_customer_t two_customers[] = {
    {.name = "east", .weight = 1, .key_count = 2, .keys = east_keys},
    {.name = "west", .weight = 1, .key_count = 1, .keys = west_keys}};
static fv_cell_queue_t queues[] = {{.name = "open", .is_public = true},
                                   {.name = "closed"}};

static fv_cell_config_t
make_config(int64_t version)
{
    fv_cell_config_t config = {.version = version,
                               .queue_count = 2,
                               .queues = queues,
                               .has_customers = true,
                               .customer_count = 2,
                               .customers = two_customers};

    config.customers_digest = FvCustomers_Digest(&config);
    return config;
}

/* Returns the customer that a call is served for, or NULL. */
static const char *
check(const fv_cell_config_t *config, const fv_cell_queue_t *queue,
      const char *key)
{
    static char served[Fv_NAME_SIZE];
    fv_customers_t *customers = FvCustomers_New(config);
    const char *name;
    fv_caller_verdict_t verdict;

    CU_ASSERT_PTR_NOT_NULL_FATAL(customers);
    verdict = FvCustomers_CheckCaller(customers, queue, key, &name);
    FvText_Copy(served, sizeof(served), name);
    FvCustomers_Free(customers);
    return verdict == Fv_CALLER_ADMITTED ? served : NULL;
}

static void
test_calls_of_a_cell_with_customers(void)
{
    static const char *const unknown[] = {
        NULL, "", "east", "east-", "east-11", "EAST-1", "east-1 ", "west-2"};
    fv_cell_config_t config = make_config(1);
    const fv_cell_queue_t *closed = &queues[1];

    CU_ASSERT_STRING_EQUAL(check(&config, closed, "east-2"), "east");
    CU_ASSERT_STRING_EQUAL(check(&config, closed, "west-1"), "west");
    /* The route has left the configuration while the call waited. */
    CU_ASSERT_STRING_EQUAL(check(&config, NULL, "west-1"), "west");
    CU_ASSERT_PTR_NULL(check(&config, NULL, NULL));
    for (size_t i = 0; i < sizeof(unknown) / sizeof(unknown[0]); i++) {
        CU_ASSERT_PTR_NULL(check(&config, closed, unknown[i]));
        CU_ASSERT_STRING_EQUAL(check(&config, &queues[0], unknown[i]), "");
    }
}

static void
test_calls_without_customers(void)
{
    fv_cell_config_t config = {.queue_count = 2, .queues = queues};

    CU_ASSERT_STRING_EQUAL(check(&config, &queues[1], NULL), "");
    CU_ASSERT_STRING_EQUAL(check(&config, &queues[1], "east-1"), "");
    config.has_customers = true; /* an empty list */
    CU_ASSERT_PTR_NULL(check(&config, &queues[1], "east-1"));
    CU_ASSERT_STRING_EQUAL(check(&config, &queues[0], NULL), "");
}

static void
test_many_keys(void)
{
    static char texts[MANY_KEYS][16];
    static char *keys[MANY_KEYS];
    fv_cell_customer_t customer = {
        .name = "many", .key_count = MANY_KEYS, .keys = keys};
    fv_cell_config_t config = {
        .has_customers = true, .customer_count = 1, .customers = &customer};
    fv_customers_t *customers;
    uint32_t found = 0;

    for (int i = 0; i < MANY_KEYS; i++) {
        snprintf(texts[i], sizeof(texts[i]), "key-%d", i);
        keys[i] = texts[i];
    }
    customers = FvCustomers_New(&config);
    CU_ASSERT_PTR_NOT_NULL_FATAL(customers);
    for (int i = 0; i < MANY_KEYS; i++) {
        found += FvCustomers_Find(customers, keys[i]) != NULL;
        CU_ASSERT_PTR_NULL(FvCustomers_Find(customers, keys[i] + 1));
    }
    CU_ASSERT_EQUAL(found, MANY_KEYS);
    FvCustomers_Free(customers);
}

/* Another digest returns requests, so that it must follow whatever decides
 * about a call, and nothing else. */
static void
test_digest(void)
{
    fv_cell_config_t config = make_config(1);
    int64_t digest = config.customers_digest;

    CU_ASSERT_NOT_EQUAL(digest, 0);
    two_customers[0].weight = 9;
    two_customers[0].cpu_millis_max = 1000;
    CU_ASSERT_EQUAL(make_config(2).customers_digest, digest);
    two_customers[1].key_count = 0;
    CU_ASSERT_NOT_EQUAL(make_config(3).customers_digest, digest);
    two_customers[1].key_count = 1;
    /* The key moves to the other customer. */
    two_customers[0].key_count = 1;
    west_keys[0] = east_keys[1];
    CU_ASSERT_NOT_EQUAL(make_config(4).customers_digest, digest);
    two_customers[0].key_count = 2;
    west_keys[0] = "west-1";
    queues[0].is_public = false;
    CU_ASSERT_NOT_EQUAL(make_config(5).customers_digest, digest);
    queues[0].is_public = true;
    CU_ASSERT_EQUAL(make_config(6).customers_digest, digest);
    config.has_customers = false;
    CU_ASSERT_EQUAL(FvCustomers_Digest(&config), 0);
}

static void
test_requests_checked_by_old_customers(void)
{
    fv_cell_config_t config = make_config(7);
    fv_customers_past_t past = {0};
    fv_caller_check_t old = {.digest = 99, .config_version = 6};

    FvCustomersPast_Note(&past, old.digest, NOW_MS - 10);
    CU_ASSERT_FALSE(FvCustomersPast_Allows(&past, &config, &old, NOW_MS));
    old.waited_ms = 10; /* it may have come just after the change */
    CU_ASSERT_FALSE(FvCustomersPast_Allows(&past, &config, &old, NOW_MS));
    old.waited_ms = 11;
    CU_ASSERT_TRUE(FvCustomersPast_Allows(&past, &config, &old, NOW_MS));
    old.waited_ms = 0;
    /* An earlier build of a host checks no keys. */
    CU_ASSERT_FALSE(FvCustomersPast_Allows(&past, &config,
                                           &(fv_caller_check_t){0}, NOW_MS));
    /* Only the weights have changed. */
    old.digest = config.customers_digest;
    CU_ASSERT_TRUE(FvCustomersPast_Allows(&past, &config, &old, NOW_MS));
    /* The host is ahead of the leader. */
    CU_ASSERT_TRUE(FvCustomersPast_Allows(
        &past, &config,
        &(fv_caller_check_t){.digest = 99, .config_version = 8}, NOW_MS));
    config.has_customers = false;
    old.digest = 99;
    CU_ASSERT_TRUE(FvCustomersPast_Allows(&past, &config, &old, NOW_MS));
    CU_ASSERT_TRUE(FvCustomersPast_Allows(&past, NULL, &old, NOW_MS));
}

/* A version every 60 ms, each with other keys, while a request is returned,
 * checked again with the leader's configuration and sent again, 40 ms each
 * way. */
static void
test_storm_of_configurations(void)
{
    fv_cell_config_t config = make_config(1);
    fv_customers_past_t past = {0};
    uint32_t returned_most = 0;

    for (int64_t arrived_ms = 0; arrived_ms < 1500; arrived_ms += 7) {
        fv_caller_check_t sent = {.digest = -1, .config_version = 1};
        uint32_t returned = 0;
        int64_t at_ms = NOW_MS + arrived_ms + 40;

        for (; returned < 10; returned++) {
            past = (fv_customers_past_t){0};
            for (int64_t v = 1; v * 60 <= at_ms - NOW_MS; v++) {
                FvCustomersPast_Note(&past, 1000 + v, NOW_MS + v * 60);
            }
            config.version = 2 + (at_ms - NOW_MS) / 60;
            config.customers_digest = 1001 + (at_ms - NOW_MS) / 60;
            if (FvCustomersPast_Allows(&past, &config, &sent, at_ms)) {
                break;
            }
            sent = (fv_caller_check_t){.digest = config.customers_digest,
                                       .config_version = config.version,
                                       .waited_ms =
                                           at_ms + 40 - NOW_MS - arrived_ms};
            at_ms += 80;
        }
        returned_most = returned > returned_most ? returned : returned_most;
    }
    /* Each costs 130 ms at worst of the 400 that a request waits. */
    CU_ASSERT(returned_most >= 1 && returned_most <= 2);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a call without a known key is served, or one with it is refused",
         test_calls_of_a_cell_with_customers},
        {"calls of a cell without customers need a key",
         test_calls_without_customers},
        {"one of many keys is not found", test_many_keys},
        {"a change of keys keeps the digest, or one of weights changes it",
         test_digest},
        {"the leader serves a request that was checked by old customers",
         test_requests_checked_by_old_customers},
        {"a storm of configurations returns a request without end",
         test_storm_of_configurations},
    };

    return Fv_RUN_SUITE("customer", cases);
}
