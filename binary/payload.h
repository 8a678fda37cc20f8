/* The files that are appended to the launcher. */

#ifndef WASABISTAGE_PAYLOAD_H
#define WASABISTAGE_PAYLOAD_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define KEY_LENGTH 64

/* One file, folder or symbolic link of the payload. */
struct item {
    char kind;          /* 'd' folder, 'f' file, 'x' executable file, 'l' link */
    uint64_t size;      /* bytes; 0 but for files */
    const char *path;   /* relative to the folder it is unpacked into */
    const char *target; /* of a link; else NULL */
};

struct payload {
    int file;
    char key[KEY_LENGTH + 1]; /* SHA-256 of the packed payload, in hex */
    uint64_t manifest_packed; /* bytes, as the four below */
    uint64_t manifest_size;
    uint64_t data_packed;
    uint64_t data_size;
    off_t manifest_at;
    size_t count;
    struct item *items;
};

/* Find and read the payload of the running program; ends it if damaged. */
void payload_open(struct payload *payload);

/* Write every item into an empty folder; ends the program if damaged.
 * Returns 0, or -1 with errno set when the folder takes no more. */
int payload_unpack(const struct payload *payload, int folder);

/* Tell whether a folder holds every item, whole and owned by this user. */
int payload_is_whole(const struct payload *payload, int folder);

#endif
