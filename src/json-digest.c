/*
 * Digest of a JSON value: SHA-256 over its canonical form, which has sorted
 * keys and no white space.
 */

#include "fireflyvalve.h"

#include <stdlib.h>
#include <string.h>

/**
 * FvJson_Digest - SHA-256 over the canonical dump of a value
 * @value: the value, or NULL
 * @digest: filled with hexadecimal digits; empty when there is no value or
 *          memory is exhausted
 */
void
FvJson_Digest(const json_t *value, char digest[Fv_DIGEST_SIZE])
{
    char *text = NULL;

    digest[0] = '\0';
    if (value != NULL) {
        text =
            json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
    }
    if (text != NULL) {
        FvText_Sha256Hex(text, strlen(text), digest);
    }
    free(text);
}
