package ivybank.soak;

import ivybank.testing.SyscallFaults;
import ivybank.testing.SyscallFaults.Call;
import ivybank.testing.SyscallFaults.Errno;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * System calls that fail for a moment in some of many processes, and wall clocks that are stepped, drawn by a seed. Several
 * episodes may overlap. Played on a thread of its own.
 */
final class SyscallStorm implements AutoCloseable {

    private static final Map<Call, Errno[]> ERRNOS = new EnumMap<>(Call.class);

    static {
        ERRNOS.put(Call.SOCKET, new Errno[] {Errno.ENFILE, Errno.ENOBUFS, Errno.ENOMEM, Errno.EMFILE});
        ERRNOS.put(Call.SETSOCKOPT, new Errno[] {Errno.ENOBUFS, Errno.ENOMEM});
        ERRNOS.put(Call.GETSOCKOPT, new Errno[] {Errno.ENOBUFS});
        ERRNOS.put(Call.CONNECT, new Errno[] {Errno.ENETUNREACH, Errno.EADDRNOTAVAIL, Errno.EHOSTUNREACH});
        ERRNOS.put(
                Call.ACCEPT, new Errno[] {Errno.ECONNABORTED, Errno.ENFILE, Errno.ENOBUFS, Errno.EMFILE, Errno.EINTR});
        ERRNOS.put(Call.SOCKET_READ, new Errno[] {Errno.ETIMEDOUT, Errno.EHOSTUNREACH, Errno.EINTR});
        ERRNOS.put(Call.SOCKET_WRITE, new Errno[] {Errno.EINTR, Errno.ENOBUFS, Errno.EHOSTUNREACH});
        ERRNOS.put(Call.SHORT_READ, new Errno[] {Errno.NONE});
        ERRNOS.put(Call.SHORT_WRITE, new Errno[] {Errno.NONE});
        ERRNOS.put(Call.EPOLL_CTL, new Errno[] {Errno.ENOMEM, Errno.ENOSPC});
        ERRNOS.put(Call.EPOLL_WAIT, new Errno[] {Errno.EINTR});
        ERRNOS.put(Call.FILE_WRITE, new Errno[] {Errno.ENOSPC, Errno.EIO});
        ERRNOS.put(Call.FILE_SYNC, new Errno[] {Errno.ENOSPC, Errno.EIO});
        ERRNOS.put(Call.FILE_OPEN, new Errno[] {Errno.ENOSPC, Errno.EIO, Errno.EMFILE});
        ERRNOS.put(Call.FILE_RENAME, new Errno[] {Errno.ENOSPC, Errno.EIO});
        ERRNOS.put(Call.LOG_WRITE, new Errno[] {Errno.ENOSPC, Errno.EIO});
        ERRNOS.put(Call.SLOW_FILE_WRITE, new Errno[] {Errno.NONE});
        ERRNOS.put(Call.HALF_FILE_WRITE, new Errno[] {Errno.NONE});
    }

    /** What Linux documents: those that have errors to fail with, in the order of the library's table. */
    private static final List<Call> CALLS = List.copyOf(ERRNOS.keySet());

    /** By then the clients' side and the stand-ins have warmed up. */
    private static final double FIRST_MS = 3000;

    private static final double MEAN_GAP_MS = 250;
    private static final long LEAST_MS = 30;
    /** Within a drain's grace, and a little more. */
    private static final long MOST_MS = 700;

    private static final long HOUR_MS = 3_600_000;
    private static final int[] PERMILLES = {150, 500, SyscallFaults.ALWAYS, SyscallFaults.ALWAYS};

    /** For so long folders stay full in some processes. */
    private static final long FULL_MS = 8000;

    private static final long OWN_DRAW = 0x66756c6cL; // of full folders, which shifts no others

    /**
     * A call that fails in some processes.
     *
     * @param permille of a thousand calls, so many
     */
    record Episode(Call call, int permille, double fromMs, double toMs, Set<Integer> processes) {}

    private record Change(double atMs, String what, Runnable action) {}

    private final List<SyscallFaults> processes;
    private final List<Change> changes = new ArrayList<>();
    private final List<Episode> episodes = new ArrayList<>();
    private final Thread player;
    private volatile boolean over;

    /** @param processes the control files of all processes */
    SyscallStorm(long seed, List<SyscallFaults> processes, double lengthMs) {
        this.processes = processes;
        SplittableRandom random = new SplittableRandom(seed * 31 + 7);
        for (double atMs = FIRST_MS; atMs < lengthMs; atMs += MEAN_GAP_MS * (0.2 + 1.6 * random.nextDouble())) {
            draw(random, atMs);
        }
        fillFolders(new SplittableRandom(seed ^ OWN_DRAW), lengthMs);
        changes.sort(Comparator.comparingDouble(Change::atMs));
        player = new Thread(this::play, "storm of system calls");
        player.setDaemon(true);
    }

    /** Before a process starts its clock may have been stepped already: that of one in four is. */
    static void stepClocks(long seed, List<SyscallFaults> processes) {
        SplittableRandom random = new SplittableRandom(seed);
        for (SyscallFaults process : processes) {
            if (random.nextInt(4) == 0) {
                process.wallClockAhead(random.nextBoolean() ? HOUR_MS : -HOUR_MS);
            }
        }
    }

    private void draw(SplittableRandom random, double atMs) {
        List<SyscallFaults> hit = new ArrayList<>();
        double part = random.nextDouble();
        for (SyscallFaults process : processes) {
            if (random.nextDouble() < part) {
                hit.add(process);
            }
        }
        if (random.nextInt(12) == 0) {
            long aheadMs = (random.nextInt(3) - 1) * HOUR_MS;
            changes.add(new Change(
                    atMs,
                    "wall clock " + aheadMs + " ms ahead of " + numbers(hit),
                    () -> hit.forEach(each -> each.wallClockAhead(aheadMs))));
            return;
        }
        Call call = CALLS.get(random.nextInt(CALLS.size()));
        Errno[] errnos = ERRNOS.get(call);
        Errno errno = errnos[random.nextInt(errnos.length)];
        int most = call == Call.EPOLL_WAIT ? 1 : PERMILLES.length; // a wait that always fails is a loop without a pause
        int permille = PERMILLES[random.nextInt(most)];
        long forMs = random.nextLong(LEAST_MS, MOST_MS);
        add(call, errno, permille, atMs, forMs, hit);
    }

    /** The folders of a third of the processes are full for long, whatever else fails and heals meanwhile. */
    private void fillFolders(SplittableRandom random, double lengthMs) {
        List<SyscallFaults> full =
                processes.stream().filter(each -> random.nextInt(3) == 0).toList();
        double atMs = FIRST_MS + random.nextDouble() * (lengthMs - FIRST_MS - FULL_MS);
        changes.add(new Change(
                atMs,
                "folders full for " + FULL_MS + " ms in " + numbers(full),
                () -> full.forEach(each -> each.fail(Call.FULL_FOLDER, Errno.ENOSPC, SyscallFaults.ALWAYS))));
        changes.add(new Change(atMs + FULL_MS, "", () -> full.forEach(each -> each.heal(Call.FULL_FOLDER))));
    }

    private void add(Call call, Errno errno, int permille, double atMs, long forMs, List<SyscallFaults> hit) {
        episodes.add(new Episode(call, permille, atMs, atMs + forMs, Set.copyOf(numbers(hit))));
        String what = call + " " + errno + " " + permille + " of 1000 for " + forMs + " ms in " + numbers(hit);
        changes.add(new Change(atMs, what, () -> hit.forEach(each -> begin(each, call, errno, permille))));
        changes.add(new Change(atMs + forMs, "", () -> hit.forEach(each -> each.heal(call))));
    }

    private List<Integer> numbers(List<SyscallFaults> hit) {
        return hit.stream().map(processes::indexOf).toList();
    }

    /** The calls that fail, as drawn. */
    List<Episode> episodes() {
        return episodes;
    }

    /** What was drawn, a line each. */
    String log() {
        StringBuilder text = new StringBuilder();
        changes.stream()
                .filter(change -> !change.what.isEmpty())
                .forEach(change -> text.append(Math.round(change.atMs))
                        .append(" storm: ")
                        .append(change.what)
                        .append('\n'));
        return text.toString();
    }

    private static void begin(SyscallFaults process, Call call, Errno errno, int permille) {
        if (call == Call.SLOW_FILE_WRITE) {
            process.slow(permille, 200);
        } else {
            process.fail(call, errno, permille);
        }
    }

    /** Begins. */
    void start() {
        player.start();
    }

    private void play() {
        long fromNanos = System.nanoTime();
        for (Change change : changes) {
            long leftMs = (long) (change.atMs - (System.nanoTime() - fromNanos) / 1e6);
            try {
                Thread.sleep(Math.max(0, leftMs));
            } catch (InterruptedException e) {
                return;
            }
            if (over) {
                return;
            }
            change.action.run();
        }
    }

    /** How many calls have failed, by kind. */
    Map<Call, Integer> hits() {
        Map<Call, Integer> hits = new EnumMap<>(Call.class);
        for (Call call : Call.values()) {
            int count = processes.stream().mapToInt(each -> each.hits(call)).sum();
            if (count > 0) {
                hits.put(call, count);
            }
        }
        return hits;
    }

    @Override
    public void close() {
        over = true;
        player.interrupt();
        processes.forEach(SyscallFaults::healAll);
    }
}
