/*
 * Reader of TOML files; usable from C and C++.
 */

#ifndef TOML_H
#define TOML_H

#include <jansson.h>

#define Fv_TOML_REASON_SIZE 256

#ifdef __cplusplus
extern "C" {
#endif

json_t *FvToml_ReadFile(const char *path, char reason[Fv_TOML_REASON_SIZE]);

#ifdef __cplusplus
}
#endif

#endif
