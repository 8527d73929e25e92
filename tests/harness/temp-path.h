/*
 * Paths of temporary files and directories of tests.
 */

#ifndef TEMP_PATH_H
#define TEMP_PATH_H

#include <stddef.h>

#define TEMP_PATH_SIZE 128

void FvTempPath_Template(char *path, size_t size, const char *name);

#endif
