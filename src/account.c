/*
 * Resource-seconds by member. Memory use in bytes times milliseconds overflows
 * 64 bits within 19 hours on one worker with 128 GB. Totals are therefore kept
 * in coarser units with an exact remainder, and products use 128 bits.
 */

#include "fireflyvalve.h"

#include <stdlib.h>

#define BYTES_PER_MIB INT64_C(1048576)

__extension__ typedef __int128 int128_t;

typedef enum resource {
    RESOURCE_CPU,
    RESOURCE_MEMORY,
    RESOURCE_ACCELERATOR,
    RESOURCE_SLOT,
    RESOURCE_COUNT
} resource_t;

/* In these units, 5,600 workers of 32 cores and 128 GB need more than 300
   years to reach INT64_MAX; totals saturate at that value. */
static const struct {
    const char *name;
    int64_t divisor; /* amount times milliseconds in one unit */
} units[RESOURCE_COUNT] = {
    [RESOURCE_CPU] = {"cpu_milli_seconds", Fv_MS_PER_S},
    [RESOURCE_MEMORY] = {"memory_mib_seconds", BYTES_PER_MIB *Fv_MS_PER_S},
    [RESOURCE_ACCELERATOR] = {"accelerator_milli_seconds", 1},
    [RESOURCE_SLOT] = {"slot_milli_seconds", 1},
};

typedef struct account {
    char member[Fv_NAME_SIZE]; /* key */
    int64_t total[RESOURCE_COUNT];
    int64_t remainder[RESOURCE_COUNT]; /* below the unit's divisor */
} account_t;

struct fv_accounts {
    fv_table_t members;
};

/**
 * FvAccounts_New - allocate an empty set of accounts
 *
 * Return: the accounts, or NULL when memory is exhausted.
 */
fv_accounts_t *
FvAccounts_New(void)
{
    return calloc(1, sizeof(fv_accounts_t));
}

/**
 * FvAccounts_Free - release a set of accounts
 * @accounts: the accounts, or NULL
 */
void
FvAccounts_Free(fv_accounts_t *accounts)
{
    if (accounts != NULL) {
        FvTable_Clear(&accounts->members);
        free(accounts);
    }
}

static account_t *
obtain_account(fv_accounts_t *accounts, const char *member)
{
    return FvTable_FindOrAdd(&accounts->members, member, Fv_NAME_SIZE,
                             sizeof(account_t));
}

static void
add_total(account_t *account, resource_t resource, int128_t amount)
{
    int128_t sum = account->total[resource] + amount;

    account->total[resource] = sum > INT64_MAX ? INT64_MAX : (int64_t)sum;
}

static void
accrue(account_t *account, resource_t resource, int64_t amount, int64_t ms)
{
    int64_t divisor = units[resource].divisor;
    int128_t product = account->remainder[resource];

    if (amount <= 0) {
        return;
    }
    product += (int128_t)amount * ms;
    add_total(account, resource, product / divisor);
    account->remainder[resource] = (int64_t)(product % divisor);
}

/**
 * FvAccounts_Accrue - charge a member for the resources of a task
 * @accounts: the accounts
 * @member: the member
 * @size: the resources allocated to the task
 * @ms: the duration; nothing is charged unless it is positive
 */
void
FvAccounts_Accrue(fv_accounts_t *accounts, const char *member,
                  const fv_resources_t *size, int64_t ms)
{
    account_t *account;

    if (ms <= 0) {
        return;
    }
    account = obtain_account(accounts, member);
    if (account != NULL) {
        accrue(account, RESOURCE_CPU, size->cpu_millis, ms);
        accrue(account, RESOURCE_MEMORY, size->memory_bytes, ms);
        accrue(account, RESOURCE_ACCELERATOR, size->accelerators, ms);
        accrue(account, RESOURCE_SLOT, size->slots, ms);
    }
}

static json_t *
account_to_json(const account_t *account)
{
    json_t *object = json_object();

    for (int i = 0; i < RESOURCE_COUNT; i++) {
        int64_t total = account == NULL ? 0 : account->total[i];

        json_object_set_new(object, units[i].name, json_integer(total));
    }
    return object;
}

/**
 * FvAccounts_ToJson - encode the accounts for the store
 * @accounts: the accounts; remainders of less than one unit are left out
 *
 * Return: an object keyed by member, or NULL when memory is exhausted.
 */
json_t *
FvAccounts_ToJson(const fv_accounts_t *accounts)
{
    json_t *object = json_object();

    for (uint32_t i = 0; i < accounts->members.count; i++) {
        const account_t *account = accounts->members.entries[i];

        json_object_set_new(object, account->member, account_to_json(account));
    }
    return object;
}

/**
 * FvAccounts_AddJson - add saved totals to the accounts
 * @accounts: the accounts
 * @saved: output of FvAccounts_ToJson; negative amounts and members whose
 *         names are too long are ignored
 */
void
FvAccounts_AddJson(fv_accounts_t *accounts, const json_t *saved)
{
    const char *member;
    json_t *entry;

    json_object_foreach((json_t *)saved, member, entry)
    {
        account_t *account = NULL;

        if (json_is_object(entry)) {
            account = obtain_account(accounts, member);
        }
        for (int i = 0; account != NULL && i < RESOURCE_COUNT; i++) {
            int64_t amount =
                json_integer_value(json_object_get(entry, units[i].name));

            if (amount > 0) {
                add_total(account, (resource_t)i, amount);
            }
        }
    }
}

/**
 * FvAccounts_MemberToJson - encode one member's account
 * @accounts: the accounts
 * @member: the member; the totals of an unknown one are 0
 *
 * Return: an object of totals, or NULL when memory is exhausted.
 */
json_t *
FvAccounts_MemberToJson(const fv_accounts_t *accounts, const char *member)
{
    return account_to_json(FvTable_Find(&accounts->members, member));
}
