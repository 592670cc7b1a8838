/*
 * The claim rule for one submission key: several daemons over one log.
 *
 * Each step is atomic, and every order of steps is searched. A frozen or slow
 * daemon is one that takes no step for as long as it likes. A restarted daemon
 * is one that has taken none yet.
 *
 * Sizes: DAEMONS, SUBMISSIONS (by callers, to any daemon), APPENDS (sent in
 * all, retries included) and CRASHES.
 *
 * WINDOW adds the forgetting of old claims. Time has two parts; in the second,
 * each daemon forgets claims that it read in the first at a moment of its own.
 * Submissions of the same part must start at most once between them.
 *
 * The macros of the mutations, each of which drops one part of the rule:
 * SUPERSEDE_WITHOUT_DECLINE, START_ON_ACK_BEFORE_READ, START_AFTER_GIVE_UP,
 * LATE_CLAIM_SERVES_ANY, LAST_CLAIM_WINS, and with WINDOW NO_FORGOTTEN_MARK
 * and SUPERSEDE_BY_OFFSET_ONLY.
 */

#ifndef DAEMONS
#define DAEMONS 2
#endif
#ifndef SUBMISSIONS
#define SUBMISSIONS 3
#endif
#ifndef APPENDS
#define APPENDS 4
#endif
#ifndef CRASHES
#define CRASHES 1
#endif

#ifdef WINDOW
#define PARTS 2
#else
#define PARTS 1
#endif

/* Stages of a daemon's own submission. */
#define NONE 0
#define PENDING 1
#define HELD 2

/* Offsets count from 1; 0 stands for none. Appends count from 0. */

typedef Append {
  byte owner;
  byte readUpTo;   /* how far the owner had read when it sent this */
  byte supersedes; /* the claim that it replaces */
  byte submission  /* what it was sent for */
};

typedef Daemon {
  bit crashed;
  byte readUpTo;
  byte current;    /* the offset of the claim that owns the key, as read */
  bit currentOld;  /* whether that was read in the first part of time */
  byte forgotten;  /* the highest offset of a claim that it forgot */
  bit uncertain;   /* whether the owner may be another one, forgotten */
  byte supersedes; /* the claim that its submission is to replace */
  byte submission; /* its latest submission, from 1 */
  byte stage
};

Append appends[APPENDS];
byte sent = 0;

byte log[APPENDS + 1]; /* the append at each offset */
byte logEnd = 0;

Daemon daemons[DAEMONS];
byte crashes = 0;

/* By submission, from 1. */
byte submissions = 0;
bit toldNotRun[SUBMISSIONS + 1];
bit partOf[SUBMISSIONS + 1];

bit declined[APPENDS + 1]; /* by offset: its owner has said "declined" */
byte starts[PARTS];
bit part = 0;

/* Scratch within a step; no part of the state. */
hidden byte a;

#define me daemons[d]
#define ownerOf(offset) appends[log[offset]].owner
#define isOwn (me.current != 0 && ownerOf(me.current) == d)

/* Whether the owner of the claim that d knows answers "declined" now. */
#ifdef SUPERSEDE_WITHOUT_DECLINE
#define ownerDeclined (me.current != 0 && !isOwn)
#else
#define ownerDeclined                                                          \
  (me.current != 0 && !isOwn && !daemons[ownerOf(me.current)].crashed &&       \
   declined[me.current])
#endif

#define ownDeclined (isOwn && declined[me.current])

#define maySubmit                                                              \
  (submissions < SUBMISSIONS && me.stage == NONE && !me.uncertain &&           \
   (me.current == 0 || ownDeclined || ownerDeclined))

inline submit()
{
  submissions++;
  partOf[submissions] = part;
  me.submission = submissions;
  me.supersedes = me.current;
  me.stage = PENDING
}

/* Sends or sends again: a lost acknowledgement tells the daemon nothing. */
inline send()
{
  appends[sent].owner = d;
  appends[sent].readUpTo = me.readUpTo;
  appends[sent].supersedes = me.supersedes;
  appends[sent].submission = me.submission;
  sent++
}

inline start()
{
  assert(!toldNotRun[me.submission]);
  starts[partOf[me.submission]]++;
  assert(starts[partOf[me.submission]] <= 1);
  me.stage = NONE
}

inline crash()
{
  me.crashed = 1;
  me.stage = NONE;
  crashes++
}

inline forget()
{
  me.forgotten = me.current;
  me.current = 0;
  me.currentOld = 0
}

inline land()
{
  logEnd++;
  log[logEnd] = i;
#ifdef START_ON_ACK_BEFORE_READ
  d = appends[i].owner;
  if
  :: me.stage == PENDING -> start()
  :: else
  fi;
  d = 0
#endif
}

#if defined(LAST_CLAIM_WINS)
#define wins (1)
#elif defined(SUPERSEDE_BY_OFFSET_ONLY)
#define wins (me.current == appends[a].supersedes || me.current == 0)
#else
#define wins (me.current <= appends[a].readUpTo)
#endif

#ifdef LATE_CLAIM_SERVES_ANY
#define isForSubmission (1)
#else
#define isForSubmission (appends[a].submission == me.submission)
#endif

/* Reads the next record and settles its claim. */
inline read()
{
  me.readUpTo++;
  a = log[me.readUpTo];
  if
  :: wins ->
#if !defined(WINDOW) && !defined(LAST_CLAIM_WINS)
     /* Without forgetting, a claim replaces just the one it names. */
     assert(appends[a].supersedes == me.current);
#endif
#ifdef WINDOW
#ifndef NO_FORGOTTEN_MARK
     if
     :: me.current == 0 && appends[a].readUpTo < me.forgotten ->
        me.uncertain = 1
     :: else
     fi;
#endif
     me.currentOld = (part == 0);
#endif
     me.current = me.readUpTo;
     if
     :: appends[a].owner != d -> me.stage = NONE
     :: appends[a].owner == d && me.uncertain ->
        declined[me.current] = 1;
        me.stage = NONE
     :: appends[a].owner == d && !me.uncertain && me.stage == PENDING &&
        isForSubmission ->
        me.stage = HELD
     :: else ->
        declined[me.current] = 1;
        me.supersedes = me.current
     fi
  :: else
  fi
}

/* Tells the caller "not run". */
inline giveUp()
{
  toldNotRun[me.submission] = 1;
#ifndef START_AFTER_GIVE_UP
  if
  :: me.stage == HELD -> declined[me.current] = 1
  :: else
  fi;
  me.stage = NONE
#endif
}

proctype Dispatcher(byte d)
{
  do
  :: d_step { !me.crashed && maySubmit -> submit() }
  :: d_step { !me.crashed && me.stage == PENDING && sent < APPENDS -> send() }
  :: d_step { !me.crashed && me.readUpTo < logEnd -> read() }
  :: d_step { !me.crashed && me.stage == HELD ->
       assert(!declined[me.current]);
       assert(!toldNotRun[appends[log[me.current]].submission]);
       start()
     }
  :: d_step { !me.crashed && me.stage != NONE && !toldNotRun[me.submission] ->
       giveUp()
     }
  :: d_step { !me.crashed && crashes < CRASHES -> crash() }
#ifdef WINDOW
  :: d_step { part == 1 && !me.crashed && me.stage != HELD &&
              me.current != 0 && me.currentOld ->
       forget()
     }
#endif
  od
}

/* An append may land at any time after it was sent, or never. */
proctype Landing(byte i)
{
#ifdef START_ON_ACK_BEFORE_READ
  byte d = 0;
#endif
  d_step { i < sent -> land() }
}

#ifdef WINDOW
proctype Time()
{
  part = 1
}
#endif

init {
  byte n = 0;
  atomic {
    do
    :: n < DAEMONS -> run Dispatcher(n); n++
    :: else -> break
    od;
    n = 0;
    do
    :: n < APPENDS -> run Landing(n); n++
    :: else -> break
    od;
    n = 0;
#ifdef WINDOW
    run Time()
#endif
  }
}
