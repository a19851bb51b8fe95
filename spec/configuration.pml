/*
 * Configuration: a configuration service that can be down or stale, three instances that read it and pull from each
 * other, and instances that are replaced.
 *
 * Names follow pkg/discovery: Offer puts a document in force if it is valid and newer. A version stands for the pair
 * (epoch, revision), whose order is total. The content of a document is its version, plus CONFLICT for other bytes
 * under the same version.
 *
 * Bounds: 3 instances, 3 versions, 2 replacements. A reversion needs one instance and two versions. Distribution
 * despite a stale service needs one instance that holds the newest version and two that read it, one of which is
 * replaced.
 *
 * Exception, stated in the design: the newest version is lost if every instance that holds it is replaced while the
 * service is stale. Therefore the model replaces an instance only while another one holds the newest version or the
 * service serves it. While the service is stale, a new instance gets the newest version only from its peers.
 */
#define INSTANCES 3
#define VERSIONS 3
#define REPLACEMENTS 2
#define CONFLICT 100

byte published = 1;              /* newest accepted version */
byte serves = 1;                 /* version that the service answers with; stale when below published */
bool conflictServed;             /* the service serves other bytes under an old version */
bool permanentlyStale;           /* the service no longer recovers from serving an old version */

typedef Instance {
	byte version;                /* version in force, 0 for none */
	byte content;                /* bytes in force */
	byte highest;                /* highest version in force since this start */
};

Instance inst[INSTANCES];
byte replaced;

#define newestEverywhere (inst[0].version == published && inst[1].version == published && inst[2].version == published)
#define quiet (published == VERSIONS && replaced == REPLACEMENTS)

#define newestHeld (inst[0].version == published || inst[1].version == published || inst[2].version == published)
#define heldByOther(i) ((i != 0 && inst[0].version == published) || (i != 1 && inst[1].version == published) || (i != 2 && inst[2].version == published))

/* ConfigStore.Offer: puts a higher version in force, ignores a lower one, refuses the same version with other bytes. */
inline offer(who, offered, bytes) {
	if
#ifdef MUT_ACCEPT_LOWER
	:: offered != inst[who].version ->
#else
	:: offered > inst[who].version ->
#endif
		inst[who].version = offered;
		inst[who].content = bytes;
		assert(offered >= inst[who].highest);                            /* never reverts */
		inst[who].highest = offered
#ifdef MUT_ACCEPT_CONFLICT
	:: offered == inst[who].version && inst[who].content != bytes -> 
		assert(inst[who].content == 0);                            /* bytes under a version never change */
		inst[who].content = bytes
#endif
	:: else -> skip
	fi
}

inline read(who) {
	if
	:: !conflictServed -> offer(who, serves, serves)
	:: conflictServed -> offer(who, serves, serves + CONFLICT)
	fi
}

proctype Platform() {
	/* An operator publishes the next version once instance 0 or 1 has the current one. The service may become stale. */
	do
	:: atomic { published < VERSIONS && (inst[0].version == published || inst[1].version == published) ->
		published++; serves = published; conflictServed = false }
	:: atomic { serves == published && published > 1 && newestHeld -> serves = serves - 1 }   /* stale */
	:: atomic { serves < published && !permanentlyStale -> serves = published }               /* recovers */
	:: atomic { serves < published -> permanentlyStale = true }
	:: atomic { !conflictServed && serves < published -> conflictServed = true }
	:: published == VERSIONS -> break
	od
}

/* One instance: reads the service when it responds, pulls from peers, and may be replaced. */
proctype EntryInstance(byte i) {
end:
	do
	:: atomic { serves != inst[i].version -> read(i) }
#ifndef MUT_NO_PEERS
	:: atomic { inst[(i + 1) % INSTANCES].version > inst[i].version ->
		offer(i, inst[(i + 1) % INSTANCES].version, inst[(i + 1) % INSTANCES].content) }
	:: atomic { inst[(i + 2) % INSTANCES].version > inst[i].version ->
		offer(i, inst[(i + 2) % INSTANCES].version, inst[(i + 2) % INSTANCES].content) }
#endif
#ifdef MUT_ACCEPT_CONFLICT
	:: atomic { serves == inst[i].version && conflictServed -> read(i) }
#endif
	od
}

/* Replaces instances at any time. A replaced instance starts without state. */
proctype Replacer() {
	byte i;
	do
	:: replaced < REPLACEMENTS ->
		if
		:: i = 0
		:: i = 1
		:: i = 2
		fi;
		atomic { (heldByOther(i) || serves == published) ->
			inst[i].version = 0; inst[i].content = 0; inst[i].highest = 0; replaced++ }
	:: replaced == REPLACEMENTS -> break
	od
}

init {
	atomic {
		run Platform();
		run Replacer();
		run EntryInstance(0);
		run EntryInstance(1);
		run EntryInstance(2)
	}
}

/* Once changes and replacements end, the newest version is in force everywhere and stays there. */
ltl newest { (<>[] quiet) -> (<>[] newestEverywhere) }
