// Opaque stand-in for the hash table that h2o's installed header h2o/http2_internal.h refers to and
// does not bring along. Only pointers to the table exist on this side; its elements are reached
// through h2o's own functions.
#pragma once

// NOLINTBEGIN: the names are those that h2o's header uses.
#include <stddef.h>

typedef unsigned khiter_t;
#define KHASH_MAP_INIT_INT64(name, type) typedef struct kh_##name##_s kh_##name##_t;
#define khash_t(name) kh_##name##_t
#define kh_get(name, table, key) ((void)(table), (void)(key), khiter_t{0})
#define kh_end(table) ((void)(table), khiter_t{0})
#define kh_val(table, at) nullptr
// NOLINTEND
