package saltstage.lab.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Stand-in gateways with their discovery, and the files with which a relay serves in front of them. */
public final class Fleet {
    private static final int SOCKETS = 4096;

    private final List<Gateway> gateways = new ArrayList<>();
    private final Discovery discovery;
    private final String listen;

    /** So many gateways, g0, g1 and so on. */
    public Fleet(int size) throws IOException {
        for (int i = 0; i < size; i++) {
            gateways.add(new Gateway("g" + i, "a"));
        }
        discovery = new Discovery(gateways);
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            listen = "127.0.0.1:" + any.getLocalPort();
        }
    }

    /** Where the relay is to listen. */
    public String listen() {
        return listen;
    }

    /** The gateways, in order. */
    public List<Gateway> gateways() {
        return List.copyOf(gateways);
    }

    /** From now on discovery answers each call that much later. */
    public void discoveryLate(Duration by) {
        discovery.late(by);
    }

    /** Writes config.json and saltstage.hcl into the folder; settings lines go into the latter. */
    public void writeFiles(Path dir, String settings) throws IOException {
        writeFiles(dir, settings, gateways.size());
    }

    /** The same, with a list of known backends from when there were only the first so many. */
    public void writeFiles(Path dir, String settings, int known) throws IOException {
        Files.createDirectories(dir);
        Files.writeString(dir.resolve("config.json"), config(known));
        Files.writeString(dir.resolve("saltstage.hcl"), settings);
    }

    private String config(int known) {
        return ("{'name':'relay','listen':'" + listen + "','discovery':'" + discovery.address()
            + "','seed':'" + Long.toHexString(System.nanoTime()) + "','limits':{'cores':1.0,'memory_mb':192,"
            + "'sockets':" + SOCKETS + "},'known':" + discovery.list(known) + ",'settings':{"
            + "'Discovery':'on_request','FleetSize':1,'Zone':0,'Zones':['a'],"
            + "'Limits':{'MaxAttempts':6,'ConnectTimeout':250000,'RetryAfter':true,'MaxRetryAfter':1500000,"
            + "'Probes':true},'Report':{'Fields':['x0','queue'],'How':'probe'},"
            + "'FamilyInfo':{'MessageAim':[60000.0,50000.0]},"
            + "'Safety':{'DrainGrace':1000000,'AskEvery':6000000,'ColdFrom':0.31,'Cold':8700000,"
            + "'TipMultiple':3.0,'Fall':3000000},"
            + "'Realms':[{'Name':'kitaden-charge'},{'Name':'dosan-power'}],'Services':["
            + "{'Name':'status-report','Aim':500000,'GiveUp':2000000,'Effect':'retryable'},"
            + "{'Name':'session-check','Aim':800000,'GiveUp':3200000,'Effect':'retryable'}]}}")
            .replace('\'', '"');
    }

    /** Does what a line says; the answer is one line, or null for the end. */
    public String command(String line) throws IOException {
        String[] words = line.trim().split("\\s+");
        switch (words[0]) {
            case "":
                return "";
            case "quit":
                return null;
            case "status":
                return status();
            default:
                break;
        }
        if (line.trim().matches("late \\d{1,6}")) {
            discoveryLate(Duration.ofMillis(Long.parseLong(words[1])));
            return "ok discovery answers " + words[1] + " ms late";
        }
        Gateway named = words.length < 2 ? null
            : gateways.stream().filter(g -> g.uid().equals(words[1])).findFirst().orElse(null);
        boolean slow = words[0].equals("slow");
        if (named == null || words.length != (slow ? 3 : 2)) {
            return "error: say drain|kill|stop|start G, slow G MS, late MS, status or quit; G is one of g0"
                + " to g" + (gateways.size() - 1);
        }
        return done(words, named);
    }

    private String done(String[] words, Gateway named) throws IOException {
        switch (words[0]) {
            case "drain" -> named.drain();
            case "kill" -> named.kill();
            case "stop" -> named.stop();
            case "start" -> named.start();
            case "slow" -> {
                if (!words[2].matches("\\d{1,6}")) {
                    return "error: not a number of milliseconds: " + words[2];
                }
                named.slow(Duration.ofMillis(Long.parseLong(words[2])));
            }
            default -> {
                return "error: unknown command " + words[0];
            }
        }
        if (!words[0].equals("slow") && !words[0].equals("stop")) {
            discovery.changed(named);
        }
        return "ok " + named.uid() + " " + named.state().name().toLowerCase(Locale.ROOT);
    }

    private String status() {
        StringBuilder told = new StringBuilder();
        for (Gateway g : gateways) {
            told.append(g.uid()).append('=').append(g.state().name().toLowerCase(Locale.ROOT)).append(':')
                .append(g.standing()).append(' ');
        }
        return told.toString().trim();
    }
}
