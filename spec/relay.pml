/*
 * Shared reads: three instances follow a store, directly or through each other, while instances 0 and 1 may be cut off
 * from the store.
 *
 * Names follow pkg/discovery: a Watcher holds a View with a revision and the age of its last confirmation. It reads from
 * another instance while the age is below MAX_AGE, and from the store otherwise. Any instance may be the parent of any
 * other at any time, cycles included, because membership only determines which instance another one reads from.
 *
 * Bounds: 3 instances, 3 revisions, ages counted in rounds in which every instance acts once. Staleness needs one
 * instance that is cut off, one that reads from it, and one more for a cycle. Ages above MAX_AGE + 1 are not
 * distinguished.
 *
 * Checked: a view never reverts; an instance that could reach the store during the last MAX_AGE + 1 rounds has a
 * confirmation that is at most MAX_AGE + 1 rounds old, and a view that is at least the revision of the store
 * MAX_AGE + 1 rounds ago.
 */
#define INSTANCES 3
#define REVISIONS 3
#define MAX_AGE 2
#define OLD (MAX_AGE + 2)        /* stands for this age and every higher one */

byte revision = 1;               /* of the store */
byte past[4];                    /* past[n]: revision of the store n rounds ago */

typedef Watcher {
	byte view;                   /* revision of the view */
	byte age;                    /* rounds since the last confirmation, as known to the instance */
	byte confirmed;              /* actual rounds since the last confirmation, not known to the instance */
	bool cut;                    /* the store cannot be reached */
	byte uncutFor;               /* rounds since the end of the last cut, up to OLD */
};

Watcher w[INSTANCES];

inline take(i, offered) {
	if
#ifdef MUT_TAKE_OLDER
	:: offered != w[i].view ->
#else
	:: offered > w[i].view ->
#endif
		assert(offered >= w[i].view);                /* never reverts */
		w[i].view = offered
	:: else -> skip
	fi
}

inline readStore(i) {
	if
	:: !w[i].cut -> take(i, revision); w[i].age = 0; w[i].confirmed = 0
	:: else -> skip
	fi
}

/* The response of another instance carries the age of its view. Only a more recent confirmation is taken over. */
inline readFrom(i, p) {
	take(i, w[p].view);
	if
	:: w[p].confirmed < w[i].confirmed -> w[i].confirmed = w[p].confirmed
	:: else -> skip
	fi;
#ifdef MUT_AGE_NOT_PASSED
	w[i].age = 0
#else
	if
	:: w[p].age < w[i].age -> w[i].age = w[p].age
	:: else -> skip
	fi
#endif
}

inline act(i) {
	if
	:: w[i].age >= MAX_AGE -> readStore(i)
	:: else ->
		if
		:: true -> readStore(i)                      /* the instance considers itself the root */
		:: true -> readFrom(i, (i + 1) % INSTANCES)
		:: true -> readFrom(i, (i + 2) % INSTANCES)
		fi
	fi
}

inline grow(i) {
	if :: w[i].age < OLD -> w[i].age++ :: else -> skip fi;
	if :: w[i].confirmed < OLD -> w[i].confirmed++ :: else -> skip fi;
	if
	:: w[i].cut -> w[i].uncutFor = 0
	:: !w[i].cut && w[i].uncutFor < OLD -> w[i].uncutFor++
	:: else -> skip
	fi
}

inline judge(i) {
	if
	:: w[i].uncutFor > MAX_AGE ->
		assert(w[i].confirmed <= MAX_AGE + 1);       /* recently confirmed */
		assert(w[i].view >= past[3])                 /* not older than the revision of the store at that time */
	:: else -> skip
	fi
}

active proctype fleet() {
	byte n;
	for (n : 0 .. INSTANCES - 1) {
		w[n].view = 1; w[n].uncutFor = OLD
	}
	for (n : 0 .. 3) { past[n] = 1 }
	n = 0;
	do
	:: atomic {
		/* Each round: the store may change, one cut may begin or end, every instance acts once in one of three orders. */
		if :: revision < REVISIONS -> revision++ :: skip fi;
		if
		:: w[0].cut = !w[0].cut
		:: w[1].cut = !w[1].cut
		:: skip
		fi;
		if
		:: true -> act(0); act(1); act(2)
		:: true -> act(2); act(1); act(0)
		:: true -> act(1); act(0); act(2)
		fi;
		past[3] = past[2]; past[2] = past[1]; past[1] = past[0]; past[0] = revision;
		grow(0); grow(1); grow(2);
		judge(0); judge(1); judge(2)
	}
	od
}
