/* The private folder: BASE/wasabistage-UID, mode 0700, owned by this user.
 *
 * It holds a file "lock" and, for each version, a folder named by the payload's key.
 * A version is unpacked as "part" and renamed when it is whole. Who runs from a
 * version holds a shared lock on its folder until the process ends.
 */

#define _GNU_SOURCE
#include "folder.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <time.h>
#include <unistd.h>

#include "report.h"

#define BASE_VARIABLE "WASABISTAGE_UNPACK_DIR"
#define DEFAULT_BASE "/tmp"
#define LOCK_NAME "lock"
#define PART_NAME "part"
#define LOCK_TRIES 1200
#define LOCK_PAUSE_NANOSECONDS 50000000L
#define REMOVE_OPEN_FOLDERS 16

static void find_base(char *base)
{
    const char *given = getenv(BASE_VARIABLE);
    const char *chosen = given != NULL && *given != '\0' ? given : DEFAULT_BASE;
    struct stat info;
    struct statvfs mount;
    if (realpath(chosen, base) == NULL || stat(base, &info) != 0)
        fail("cannot unpack into %s: %s; set " BASE_VARIABLE " to a writable folder",
             chosen, strerror(errno));
    if (!S_ISDIR(info.st_mode))
        fail("%s is no folder; set " BASE_VARIABLE " to a writable folder", base);
    if (info.st_uid != 0 && info.st_uid != geteuid())
        fail("%s belongs to another user; set " BASE_VARIABLE " to a folder of this "
             "user or root", base);
    if ((info.st_mode & 0022) != 0 && (info.st_mode & S_ISVTX) == 0)
        fail("others may rename what is in %s; set its sticky bit (chmod +t) or set "
             BASE_VARIABLE " to another folder", base);
    if (statvfs(base, &mount) == 0 && (mount.f_flag & ST_NOEXEC) != 0)
        fail("%s is mounted noexec; set " BASE_VARIABLE " to a folder from which "
             "programs may run", base);
}

static void take_lock(struct folder *folder)
{
    const struct timespec pause = {0, LOCK_PAUSE_NANOSECONDS};
    folder->lock = openat(folder->handle, LOCK_NAME,
                          O_RDWR | O_CREAT | O_NOFOLLOW | O_CLOEXEC, 0600);
    if (folder->lock < 0)
        fail("cannot write in %s: %s; set " BASE_VARIABLE " to a writable folder",
             folder->path, strerror(errno));
    for (int tries = 0; tries < LOCK_TRIES; tries++) {
        if (flock(folder->lock, LOCK_EX | LOCK_NB) == 0)
            return;
        nanosleep(&pause, NULL);
    }
    fail("another start has held %s/" LOCK_NAME " for a minute; end it (fuser shows "
         "its process id) and start again", folder->path);
}

void folder_open(struct folder *folder)
{
    char base[PATH_MAX];
    struct stat info;
    find_base(base);
    int length = snprintf(folder->path, sizeof folder->path, "%s/wasabistage-%lu",
                          base, (unsigned long)geteuid());
    if (length < 0 || (size_t)length + KEY_LENGTH + 32 > sizeof folder->path)
        fail("the path %s is too long; set " BASE_VARIABLE " to a shorter one", base);
    if (mkdir(folder->path, 0700) != 0 && errno != EEXIST)
        fail("cannot make %s: %s; set " BASE_VARIABLE " to a writable folder",
             folder->path, strerror(errno));
    folder->handle = open(folder->path,
                          O_RDONLY | O_DIRECTORY | O_NOFOLLOW | O_CLOEXEC);
    if (folder->handle < 0 || fstat(folder->handle, &info) != 0)
        fail("cannot open %s as a folder: %s; remove it or set " BASE_VARIABLE
             " to another folder", folder->path, strerror(errno));
    if (info.st_uid != geteuid() || (info.st_mode & 0077) != 0)
        fail("%s is not private to this user; remove it or set " BASE_VARIABLE
             " to another folder", folder->path);
    take_lock(folder);
}

void folder_unlock(struct folder *folder)
{
    close(folder->lock);
    close(folder->handle);
}

static int remove_one(const char *path, const struct stat *info, int kind,
                      struct FTW *place)
{
    (void)info;
    (void)kind;
    (void)place;
    return remove(path);
}

static void remove_tree(struct folder *folder, const char *name)
{
    char path[PATH_MAX + KEY_LENGTH + 32];
    snprintf(path, sizeof path, "%s/%s", folder->path, name);
    if (nftw(path, remove_one, REMOVE_OPEN_FOLDERS, FTW_DEPTH | FTW_PHYS) != 0 &&
        errno != ENOENT)
        fail("cannot remove %s: %s; remove it by hand", path, strerror(errno));
}

static int open_version(struct folder *folder, const char *name)
{
    return openat(folder->handle, name,
                  O_RDONLY | O_DIRECTORY | O_NOFOLLOW | O_CLOEXEC);
}

/* Call for each version; counts the versions for which it returns other than 0. */
static int for_each_version(struct folder *folder,
                            int (*call)(struct folder *, const char *, int in_use,
                                        const void *),
                            const void *extra)
{
    int count = 0;
    DIR *list = fdopendir(open_version(folder, "."));
    if (list == NULL)
        fail("cannot list %s: %s; remove it", folder->path, strerror(errno));
    for (struct dirent *entry = readdir(list); entry; entry = readdir(list)) {
        int version = entry->d_name[0] == '.' ? -1 : open_version(folder, entry->d_name);
        if (version < 0)
            continue;
        int in_use = flock(version, LOCK_EX | LOCK_NB) != 0;
        close(version);
        count += call(folder, entry->d_name, in_use, extra) != 0;
    }
    closedir(list);
    return count;
}

static int remove_if_unused(struct folder *folder, const char *name, int in_use,
                            const void *keep)
{
    if (keep != NULL && strcmp(name, keep) == 0)
        return 0;
    if (!in_use)
        remove_tree(folder, name);
    return in_use;
}

int folder_remove_unused(struct folder *folder, const char *keep)
{
    return for_each_version(folder, remove_if_unused, keep);
}

static unsigned long long counted_bytes;

static int count_one(const char *path, const struct stat *info, int kind,
                     struct FTW *place)
{
    (void)path;
    (void)place;
    if (kind == FTW_F)
        counted_bytes += (unsigned long long)info->st_blocks * 512;
    return 0;
}

static int print_version(struct folder *folder, const char *name, int in_use,
                         const void *extra)
{
    char path[PATH_MAX + KEY_LENGTH + 32];
    (void)extra;
    counted_bytes = 0;
    snprintf(path, sizeof path, "%s/%s", folder->path, name);
    nftw(path, count_one, REMOVE_OPEN_FOLDERS, FTW_PHYS);
    printf("%s %llu bytes, %s\n", path, counted_bytes, in_use ? "in use" : "unused");
    return 0;
}

void folder_print(struct folder *folder)
{
    for_each_version(folder, print_version, NULL);
}

static void unpack(struct folder *folder, const struct payload *payload)
{
    remove_tree(folder, PART_NAME);
    if (mkdirat(folder->handle, PART_NAME, 0700) != 0)
        fail("cannot write in %s: %s; set " BASE_VARIABLE " to another folder",
             folder->path, strerror(errno));
    int part = open_version(folder, PART_NAME);
    if (part < 0 || payload_unpack(payload, part) != 0 || syncfs(part) != 0) {
        int kept = errno;
        remove_tree(folder, PART_NAME);
        fail("cannot unpack %llu bytes into %s: %s; free space there or set "
             BASE_VARIABLE " to another folder",
             (unsigned long long)payload->data_size, folder->path, strerror(kept));
    }
    close(part);
    remove_tree(folder, payload->key);
    if (renameat(folder->handle, PART_NAME, folder->handle, payload->key) != 0)
        fail("cannot rename in %s: %s; remove that folder", folder->path,
             strerror(errno));
}

void folder_provide(struct folder *folder, const struct payload *payload)
{
    int version = open_version(folder, payload->key);
    if (version < 0 || !payload_is_whole(payload, version)) {
        if (version >= 0)
            close(version);
        folder_remove_unused(folder, payload->key);
        unpack(folder, payload);
        version = open_version(folder, payload->key);
    }
    /* Without close-on-exec: the lock lasts as long as the process. */
    if (version < 0 || fcntl(version, F_SETFD, 0) != 0 ||
        flock(version, LOCK_SH | LOCK_NB) != 0)
        fail("cannot lock %s/%s: %s; remove that folder", folder->path, payload->key,
             strerror(errno));
}
