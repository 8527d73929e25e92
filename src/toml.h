/*
 * TOML parser; usable from C and C++.
 */

#ifndef FIREFLYVALVE_TOML_H
#define FIREFLYVALVE_TOML_H

#include <jansson.h>

/* Size of a buffer for an error message, including the terminating NUL. */
#define Fv_REASON_SIZE 128

#ifdef __cplusplus
extern "C" {
#endif

json_t *FvToml_ReadFile(const char *path, char reason[Fv_REASON_SIZE]);

#ifdef __cplusplus
}
#endif

#endif
