/*
 * Release of types exchanged with the platform.
 */

#include "cell-types.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/**
 * FvCallAnswer_Error - name the failure of a call, for the log
 * @answer: the answer
 *
 * Return: the name; "status" when there is an answer.
 */
const char *
FvCallAnswer_Error(const fv_call_answer_t *answer)
{
    if (answer->status != 0) {
        return "status";
    }
    if (answer->refused) {
        return "connection_refused";
    }
    if (answer->not_sent) {
        return "no_connection";
    }
    return answer->closed ? "connection_closed" : "no_answer";
}

/**
 * FvJobSpec_Clear - release a job's specification
 * @spec: the specification
 */
void
FvJobSpec_Clear(fv_job_spec_t *spec)
{
    free(spec->payload);
    free(spec->steps);
    *spec = (fv_job_spec_t){0};
}

/**
 * FvCellConfig_Free - release a configuration
 * @config: the configuration, or NULL
 */
void
FvCellConfig_Free(fv_cell_config_t *config)
{
    if (config == NULL) {
        return;
    }
    for (uint32_t c = 0; c < config->customer_count; c++) {
        fv_cell_customer_t *customer = &config->customers[c];

        for (uint32_t k = 0; k < customer->key_count; k++) {
            sodium_memzero(customer->keys[k], strlen(customer->keys[k]));
            free(customer->keys[k]);
        }
        free(customer->keys);
    }
    free(config->customers);
    free(config->queues);
    if (config->document != NULL) {
        sodium_memzero(config->document, config->document_length);
    }
    free(config->document);
    free(config);
}

/**
 * FvKvItems_Clear - release items read from the store
 * @items: the items
 */
void
FvKvItems_Clear(fv_kv_items_t *items)
{
    for (uint32_t i = 0; i < items->count; i++) {
        free(items->items[i].key);
        FvBuffer_Clear(&items->items[i].value);
    }
    free(items->items);
    free(items->next_after);
    *items = (fv_kv_items_t){0};
}

/**
 * FvWorkerReport_Clear - release a worker's report
 * @report: the report
 */
void
FvWorkerReport_Clear(fv_worker_report_t *report)
{
    for (uint32_t i = 0; i < report->running_count; i++) {
        free(report->running[i].checkpoint);
    }
    for (uint32_t i = 0; i < report->ended_count; i++) {
        free(report->ended[i].checkpoint);
    }
    free(report->running);
    free(report->ended);
    *report = (fv_worker_report_t){0};
}

/**
 * FvAdvice_Clear - release an answer of the advice service
 * @advice: the answer
 */
void
FvAdvice_Clear(fv_advice_t *advice)
{
    for (uint32_t i = 0; i < advice->row_count; i++) {
        free(advice->rows[i].ticket);
    }
    free(advice->rows);
    *advice = (fv_advice_t){0};
}
