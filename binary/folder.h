/* The private folder that holds what was unpacked, and its locks. */

#ifndef WASABISTAGE_FOLDER_H
#define WASABISTAGE_FOLDER_H

#include <limits.h>

#include "payload.h"

struct folder {
    char path[PATH_MAX]; /* absolute, without symbolic links */
    int handle;
    int lock;            /* held by the one launcher that changes the folder */
};

/* Open the private folder of this user, make it if missing, and lock it. */
void folder_open(struct folder *folder);

/* Let other launchers change the folder. */
void folder_unlock(struct folder *folder);

/* Make sure that the payload stands there whole, and mark it as in use for the
 * life of this process, across exec. */
void folder_provide(struct folder *folder, const struct payload *payload);

/* Remove what no process uses; returns the number of those still in use. */
int folder_remove_unused(struct folder *folder, const char *keep);

/* Print each unpacked version with its path, bytes, and whether it is in use. */
void folder_print(struct folder *folder);

#endif
