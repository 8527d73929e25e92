/*
 * Customers of the cell, found by the key of a call.
 */

#include "customer.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define Fv_KEY_HASH_BYTES 32

/* Free slots of the table for each used one: probes stay short. */
#define Fv_SLOTS_PER_KEY 2

typedef struct fv_key_slot {
    uint8_t hash[Fv_KEY_HASH_BYTES];
    const fv_cell_customer_t *customer; /* NULL: free */
} fv_key_slot_t;

struct fv_customers {
    bool needs_key;
    uint8_t hash_key[crypto_generichash_KEYBYTES];
    size_t slot_count; /* a power of two */
    fv_key_slot_t slots[];
};

/* Nobody outside of the process can compute the hash, so the time that a
 * lookup takes tells nothing about the keys, and nobody can choose keys that
 * share slots. */
static void
hash_key(const fv_customers_t *customers, const char *key,
         uint8_t hash[Fv_KEY_HASH_BYTES])
{
    crypto_generichash(hash, Fv_KEY_HASH_BYTES, (const uint8_t *)key,
                       strlen(key), customers->hash_key,
                       sizeof(customers->hash_key));
}

static size_t
first_slot(const fv_customers_t *customers,
           const uint8_t hash[Fv_KEY_HASH_BYTES])
{
    uint64_t number;

    memcpy(&number, hash, sizeof(number));
    return (size_t)number & (customers->slot_count - 1);
}

/* The slot with the hash, or the free one where it belongs. */
static size_t
find_slot(const fv_customers_t *customers,
          const uint8_t hash[Fv_KEY_HASH_BYTES])
{
    size_t slot = first_slot(customers, hash);

    while (customers->slots[slot].customer != NULL &&
           sodium_memcmp(customers->slots[slot].hash, hash,
                         Fv_KEY_HASH_BYTES) != 0) {
        slot = (slot + 1) & (customers->slot_count - 1);
    }
    return slot;
}

static void
add_key(fv_customers_t *customers, const char *key,
        const fv_cell_customer_t *customer)
{
    uint8_t hash[Fv_KEY_HASH_BYTES];
    fv_key_slot_t *slot;

    hash_key(customers, key, hash);
    slot = &customers->slots[find_slot(customers, hash)];
    memcpy(slot->hash, hash, sizeof(hash));
    slot->customer = customer;
}

/**
 * FvCustomers_New - prepare the keys of a configuration for lookups
 * @config: the configuration, which must stay valid
 *
 * The table has two to four slots of 40 bytes for each key.
 *
 * Return: the table, or NULL when memory is exhausted.
 */
fv_customers_t *
FvCustomers_New(const fv_cell_config_t *config)
{
    size_t key_count = 0;
    size_t slot_count = 1;
    fv_customers_t *customers;

    for (uint32_t c = 0; c < config->customer_count; c++) {
        key_count += config->customers[c].key_count;
    }
    while (slot_count < key_count * Fv_SLOTS_PER_KEY + 1) {
        slot_count *= 2;
    }
    customers = sodium_init() >= 0
                    ? calloc(1, sizeof(*customers) +
                                    slot_count * sizeof(fv_key_slot_t))
                    : NULL;
    if (customers == NULL) {
        return NULL;
    }
    customers->needs_key = config->has_customers;
    customers->slot_count = slot_count;
    randombytes_buf(customers->hash_key, sizeof(customers->hash_key));
    for (uint32_t c = 0; c < config->customer_count; c++) {
        const fv_cell_customer_t *customer = &config->customers[c];

        for (uint32_t k = 0; k < customer->key_count; k++) {
            add_key(customers, customer->keys[k], customer);
        }
    }
    return customers;
}

/**
 * FvCustomers_Free - free a table
 * @customers: the table, or NULL
 */
void
FvCustomers_Free(fv_customers_t *customers)
{
    if (customers != NULL) {
        sodium_memzero(customers->hash_key, sizeof(customers->hash_key));
        free(customers);
    }
}

/**
 * FvCustomers_Find - find the customer to whom a key belongs
 * @customers: the keys
 * @key: the key
 *
 * Return: the customer's name, or NULL when the key is not known.
 */
const char *
FvCustomers_Find(const fv_customers_t *customers, const char *key)
{
    uint8_t hash[Fv_KEY_HASH_BYTES];
    const fv_cell_customer_t *customer;

    hash_key(customers, key, hash);
    customer = customers->slots[find_slot(customers, hash)].customer;
    return customer != NULL ? customer->name : NULL;
}

/**
 * FvCustomers_CheckCaller - whether a call may be served, and for whom
 * @customers: the keys
 * @queue: of the route; NULL: not in the configuration any more
 * @key: as sent by the caller, or NULL
 * @customer: set to the customer's name; "" without customers and on a public
 *            route, whose jobs belong to nobody
 *
 * Return: the verdict.
 */
fv_caller_verdict_t
FvCustomers_CheckCaller(const fv_customers_t *customers,
                        const fv_cell_queue_t *queue, const char *key,
                        const char **customer)
{
    const char *name;

    *customer = "";
    if (!customers->needs_key || (queue != NULL && queue->is_public)) {
        return Fv_CALLER_ADMITTED;
    }
    if (key == NULL || key[0] == '\0') {
        return Fv_CALLER_WITHOUT_KEY;
    }
    name = FvCustomers_Find(customers, key);
    if (name == NULL) {
        return Fv_CALLER_WITH_UNKNOWN_KEY;
    }
    *customer = name;
    return Fv_CALLER_ADMITTED;
}

static void
digest_text(crypto_generichash_state *state, const char *text)
{
    uint64_t length = strlen(text);

    crypto_generichash_update(state, (const uint8_t *)&length, sizeof(length));
    crypto_generichash_update(state, (const uint8_t *)text, length);
}

static void
digest_customer(crypto_generichash_state *state,
                const fv_cell_customer_t *customer)
{
    uint64_t key_count = customer->key_count;

    digest_text(state, customer->name);
    crypto_generichash_update(state, (const uint8_t *)&key_count,
                              sizeof(key_count));
    for (uint32_t k = 0; k < customer->key_count; k++) {
        digest_text(state, customer->keys[k]);
    }
}

/**
 * FvCustomers_Digest - digest of what decides whether a call is served
 * @config: the configuration
 *
 * It covers the customers' names and keys and the public queues. Two
 * configurations with the same digest admit the same calls, whatever else they
 * change. It is one of all keys together: a guess of one key cannot be tried
 * on it without all others.
 *
 * Return: the digest; 0 without customers.
 */
int64_t
FvCustomers_Digest(const fv_cell_config_t *config)
{
    crypto_generichash_state state;
    uint8_t hash[crypto_generichash_BYTES];
    int64_t digest;

    if (!config->has_customers) {
        return 0;
    }
    crypto_generichash_init(&state, NULL, 0, sizeof(hash));
    for (uint32_t c = 0; c < config->customer_count; c++) {
        digest_customer(&state, &config->customers[c]);
    }
    for (uint32_t q = 0; q < config->queue_count; q++) {
        if (config->queues[q].is_public) {
            digest_text(&state, config->queues[q].name);
        }
    }
    crypto_generichash_final(&state, hash, sizeof(hash));
    memcpy(&digest, hash, sizeof(digest));
    return digest != 0 ? digest : 1;
}

/**
 * FvCustomersPast_Note - note that a digest is not in force any more
 * @past: the earlier digests
 * @digest: the digest that was in force until now
 * @now_ms: the time
 */
void
FvCustomersPast_Note(fv_customers_past_t *past, int64_t digest, int64_t now_ms)
{
    uint32_t row = past->count++ % Fv_CUSTOMERS_PAST_MAX;

    past->rows[row].digest = digest;
    past->rows[row].until_ms = now_ms;
}

/**
 * FvCustomersPast_Allows - whether the leader may handle a request that a host
 * has checked
 * @past: the leader's earlier digests
 * @config: the leader's configuration, or NULL
 * @check: how the host has checked the request
 * @now_ms: the time
 *
 * The host's check counts if it is by the customers that this leader knows, by
 * those of a newer configuration, or by those that were in force here at a
 * time after the request had arrived. The latter keeps a request from being
 * given back again and again while configurations follow each other closely.
 *
 * Return: false when the host has to check the request again.
 */
bool
FvCustomersPast_Allows(const fv_customers_past_t *past,
                       const fv_cell_config_t *config,
                       const fv_caller_check_t *check, int64_t now_ms)
{
    uint32_t kept = past->count < Fv_CUSTOMERS_PAST_MAX
                        ? past->count
                        : Fv_CUSTOMERS_PAST_MAX;

    if (config == NULL || !config->has_customers ||
        check->digest == config->customers_digest ||
        check->config_version > config->version) {
        return true;
    }
    for (uint32_t i = 0; i < kept; i++) {
        /* In the same millisecond, the request may have come later. */
        if (past->rows[i].digest == check->digest &&
            past->rows[i].until_ms > now_ms - check->waited_ms) {
            return true;
        }
    }
    return false;
}
