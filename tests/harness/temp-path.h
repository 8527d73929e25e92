/*
 * Where tests put files of their own.
 */

#ifndef TEMP_PATH_H
#define TEMP_PATH_H

#include <stddef.h>

#define TEMP_PATH_SIZE 128

/* A template for mkstemp and mkdtemp, in TMPDIR where that is set. */
void FvTempPath_Template(char *path, size_t size, const char *name);

#endif
