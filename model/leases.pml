/*
 * One run of a task on a leased worker, its holder, a second holder that may
 * take the worker over, and the gateway whose job it is. The gateway is lost at
 * some time, by a reset or in silence, perhaps with the holder in the same
 * process; RESEND later its caller has submitted again elsewhere, and nothing of
 * the first submission may run or begin then.
 *
 * Time goes in units of 50 ms. All orders of what may happen within a unit are
 * searched. Orders may be lost, once the worker is cut off all are. A start may
 * arrive late, until its deadline.
 *
 * Bounds: LEASE (750 ms), WORKER_LEASE (the same by a clock that is 2% slow),
 * SILENCE (450 ms), PATIENCE_RESET (200 ms), PATIENCE_SILENT (50 ms), STRAY
 * (200 ms), STOP (50 ms), RESEND (1,300 ms).
 *
 * Mutations, each of which must be found: LONG_LEASE, PATIENT_AFTER_SILENCE,
 * LONG_SILENCE, RENEW_UNWANTED, NO_FENCE, START_WITHOUT_DEADLINE, KEEP_STRAYS.
 */

#ifdef LONG_LEASE
#define LEASE 20
#define WORKER_LEASE 21
#else
#define LEASE 15
#define WORKER_LEASE 16
#endif
#ifdef LONG_SILENCE
#define SILENCE 14
#else
#define SILENCE 9
#endif
#define PATIENCE_RESET 4
#ifdef PATIENT_AFTER_SILENCE
#define PATIENCE_SILENT 4
#else
#define PATIENCE_SILENT 1
#endif
#ifdef KEEP_STRAYS
#define STRAY 30
#else
#define STRAY 4
#endif
#define STOP 1
#define RESEND 26
/* The gateway is lost within this time. */
#define LOSS_BEFORE 6
#define NEVER 100

byte now = 0;
byte lost_at = NEVER;      /* when the gateway was lost */
bool is_silent = false;    /* whether the loss is known by silence only */
byte holder_lost_at = NEVER;
bool is_taken = false;     /* the second holder has the worker */
byte taken_at = NEVER;
bool is_cut = false;       /* no order reaches the worker any more */

bool is_running = false;
byte lease_end = 0;
bool has_begun = false;    /* the start has been carried out or refused */
byte start_deadline = LEASE;
byte first_token = 1;      /* the highest that the worker has seen */

#define OTHER_NOTICES (is_silent -> SILENCE : 0)
#define GIVE_UP (lost_at + (is_silent -> SILENCE + PATIENCE_SILENT : PATIENCE_RESET))
#define holder_lives (holder_lost_at == NEVER)
#define holder_wants (lost_at == NEVER || now <= GIVE_UP)
#define must_be_stopped \
  ((holder_lives && lost_at != NEVER && now > GIVE_UP + STOP) || \
   (is_taken && now > taken_at + STRAY + STOP))

active proctype World()
{
  do
  /* The first holder's start arrives, perhaps late. */
  :: !has_begun ->
       has_begun = true;
       if
#ifdef START_WITHOUT_DEADLINE
       :: first_token == 1 && !is_cut ->
#else
       :: first_token == 1 && !is_cut && now < start_deadline ->
#endif
            /* The second holder has counted the worker's room without it. */
            assert(!is_taken);
            is_running = true;
            lease_end = (start_deadline > now -> start_deadline : now + LEASE)
       :: true -> skip
       fi

  /* The first holder renews while it wants the run. */
#ifdef RENEW_UNWANTED
  :: holder_lives && first_token == 1 && is_running && !is_cut ->
#else
  :: holder_lives && holder_wants && first_token == 1 && is_running && !is_cut ->
#endif
       lease_end = now + WORKER_LEASE

  /* Any holder that doesn't want the run stops it. */
  :: is_running && !is_cut && holder_lives && !holder_wants ->
       is_running = false; has_begun = true
  :: is_running && !is_cut && is_taken -> is_running = false; has_begun = true

  /* The gateway is lost, alone or with the holder. */
  :: lost_at == NEVER && now <= LOSS_BEFORE ->
       lost_at = now;
       if
       :: is_silent = true
       :: is_silent = false
       fi;
       if
       :: holder_lost_at = now
       :: skip
       fi

  /* Another daemon takes the worker over; its report renews nothing, but it
     renews what it found until it stops it. */
  :: !holder_lives && !is_taken && !is_cut &&
     now >= holder_lost_at + OTHER_NOTICES ->
       is_taken = true;
       taken_at = now;
#ifndef NO_FENCE
       first_token = 2
#endif
  :: is_taken && is_running && !is_cut && now <= taken_at + STRAY ->
       lease_end = now + WORKER_LEASE

  /* The worker is cut off. Together with a lost holder that is one fault more
     than the bounds cover. */
  :: !is_cut && holder_lives -> is_cut = true

  /* Time goes on, not before what is due by then has happened. */
  :: now < LOSS_BEFORE + RESEND + 2 &&
     !(must_be_stopped && is_running && !is_cut) ->
       now++;
       if
       :: is_running && now >= lease_end -> is_running = false
       :: else -> skip
       fi;
       if
       :: lost_at != NEVER && now >= lost_at + RESEND ->
            assert(!is_running);
            assert(has_begun || first_token == 2 || is_cut ||
                   now >= start_deadline)
       :: else -> skip
       fi

  :: now >= LOSS_BEFORE + RESEND + 2 -> break
  od
}
