import java.util.List;

/** A new configuration drops a kind of machine that is no longer in use; then writes have to go on reaching the origin. */
final class KindsReload {
    private static final int WRITES = 20;

    public static void main(String[] args) {
        Rig.main(args, KindsReload::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.CacheNode first = new Rig.CacheNode("cache-1");
        Rig.CacheNode second = new Rig.CacheNode("cache-2");
        Rig.Origin origin = new Rig.Origin(30);
        List<Rig.Target> targets = List.of(new Rig.Target("cache-1", first.server.port, "mini-1", "active"),
            new Rig.Target("cache-2", second.server.port, "mini-1", "active"),
            new Rig.Target("origin", origin.server.port, "origin", "active"));
        Rig.Discovery discovery = new Rig.Discovery(targets);
        String before = Rig.settings("[\"std-2\",\"mini-1\",\"origin\"]", 2, Rig.TRACKS);
        String after = Rig.settings("[\"mini-1\",\"origin\"]", 1, Rig.TRACKS);
        Rig.Proxy proxy = rig.new Proxy();
        proxy.writeConfig(discovery.server.port, targets, before);
        proxy.start(discovery.server.port);
        Rig.sleep(1000);
        int broken = writeAndRead(rig, proxy, origin, "a");
        if (broken > 0) {
            rig.note("not served rightly before the new configuration");
            return Rig.COULD_NOT_RUN;
        }
        rig.note("new configuration: " + (Rig.TROUBLE ? "kinds without std-2, originKind 1 instead of 2" : "as before"));
        proxy.writeConfig(discovery.server.port, targets, Rig.TROUBLE ? after : before);
        proxy.signal("HUP");
        for (int i = 0; i < 50 && !proxy.call("GET", "/stats").contains("proxy.sighup_applied:1|"); i++) {
            Rig.sleep(100);
        }
        proxy.call("GET", "/stats").lines().filter(line -> line.contains("sighup")).forEach(line -> rig.note("stats: " + line));
        Rig.sleep(2000);
        broken = writeAndRead(rig, proxy, origin, "b");
        for (Rig.CacheNode node : List.of(first, second)) {
            rig.note(node.name + " got the writes: " + String.join(" ",
                node.arrived.stream().filter(a -> a.kind().equals("ms")).map(Rig.Arrived::id).toList()));
        }
        proxy.noteLog(8);
        rig.note("after the new configuration: " + broken + " writes answered as served that the origin never got, or reads "
            + "of an older value");
        return broken > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Writes and reads keys; returns how often an acknowledged write was missing at the origin or from a later read. */
    private static int writeAndRead(Rig rig, Rig.Proxy proxy, Rig.Origin origin, String round) throws Exception {
        int broken = 0;
        for (int i = 0; i < WRITES; i++) {
            String key = String.format("7f3a%04x", i);
            String id = round + "w" + i;
            String value = "value-" + id;
            Rig.Answer written;
            Rig.Answer read;
            try (Rig.Client client = new Rig.Client(proxy.port)) {
                client.send(Rig.bytes("ms " + key + " " + value.length() + " O" + id + " Pc=put,d=2000,k=k" + id + "\r\n"
                    + value + "\r\n"));
                written = client.receive(4000);
                client.send(Rig.bytes("mg " + key + " v O" + round + "r" + i + " Pc=read,d=2000\r\n"));
                read = client.receive(4000);
            }
            boolean atOrigin = origin.arrived.stream().anyMatch(a -> a.kind().equals("PUT") && a.id().equals(id));
            String readValue = read.value() == null ? read.line() : new String(read.value());
            rig.note("write " + id + " of " + key + ": " + written.line() + (atOrigin ? ", at the origin" : ", NOT at the origin")
                + "; then read: " + readValue);
            boolean lost = written.isServed() && !atOrigin;
            boolean stale = written.isServed() && read.isServed() && !readValue.equals(value);
            broken += lost || stale ? 1 : 0;
        }
        return broken;
    }
}
