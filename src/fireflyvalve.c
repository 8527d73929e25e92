/*
 * Entry point.
 */

#include "daemon.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

int
main(int argc, char **argv)
{
    fv_settings_t settings;

    if (argc != 4 || strcmp(argv[1], "serve") != 0 ||
        strcmp(argv[2], "--config") != 0) {
        fprintf(stderr, "usage: fireflyvalve serve --config FILE\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    if (!FvSettings_Load(argv[3], &settings, stderr)) {
        return 2;
    }
    return FvServe_Run(&settings);
}
