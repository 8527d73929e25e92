/*
 * SHA-256 digest of the canonical form of a JSON value: keys sorted, no white
 * space.
 */

#include "fireflyvalve.h"

#include <stdlib.h>
#include <string.h>

/**
 * FvJson_Digest - compute the digest of a value
 * @value: the value, or NULL
 * @digest: set to hexadecimal digits, or to "" when @value is NULL or memory
 *          is exhausted
 */
void
FvJson_Digest(const json_t *value, char digest[Fv_HASH256_HEX_SIZE])
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
