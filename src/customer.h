/*
 * Customers of the cell: which call belongs to which of them, and whether the
 * configuration by which a host has decided this is recent enough for the
 * leader. Uses no sockets, threads or clocks.
 */

#ifndef CUSTOMER_H
#define CUSTOMER_H

#include "cell-types.h"

/* The keys of a configuration, by keyed hash. */
typedef struct fv_customers fv_customers_t;

fv_customers_t *FvCustomers_New(const fv_cell_config_t *config);
void FvCustomers_Free(fv_customers_t *customers);
const char *FvCustomers_Find(const fv_customers_t *customers, const char *key);
int64_t FvCustomers_Digest(const fv_cell_config_t *config);

typedef enum fv_caller_verdict {
    Fv_CALLER_ADMITTED,
    Fv_CALLER_WITHOUT_KEY,
    Fv_CALLER_WITH_UNKNOWN_KEY
} fv_caller_verdict_t;

fv_caller_verdict_t FvCustomers_CheckCaller(const fv_customers_t *customers,
                                            const fv_cell_queue_t *queue,
                                            const char *key,
                                            const char **customer);

/* Digests that were in force and the times at which they were superseded. A
 * request waits 400 ms for a leader (forwarding.c), in which a storm of
 * configurations, one every 60 ms, supersedes seven. */
#define Fv_CUSTOMERS_PAST_MAX 16

typedef struct fv_customers_past {
    struct {
        int64_t digest;
        int64_t until_ms;
    } rows[Fv_CUSTOMERS_PAST_MAX]; /* a ring */
    uint32_t count;                /* noted so far */
} fv_customers_past_t;

/* How a host has checked a caller's request. */
typedef struct fv_caller_check {
    int64_t digest;         /* FvCustomers_Digest() of its configuration */
    int64_t config_version; /* 0: not told, the host is of an earlier build */
    int64_t waited_ms;      /* from the request's arrival at the host */
} fv_caller_check_t;

void FvCustomersPast_Note(fv_customers_past_t *past, int64_t digest,
                          int64_t now_ms);
bool FvCustomersPast_Allows(const fv_customers_past_t *past,
                            const fv_cell_config_t *config,
                            const fv_caller_check_t *check, int64_t now_ms);

#endif
