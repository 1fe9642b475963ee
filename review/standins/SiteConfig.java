/** The platform's configuration of a relay, with settings like those of sapporo-main. */
final class SiteConfig {
    private SiteConfig() {}

    static String json(String listen, String discovery, String targets, int revision, String discoveryMode) {
        return "{\"name\":\"n1\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery + "\","
            + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
            + "\"known\":{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + targets + "]},"
            + "\"settings\":{\"Discovery\":\"" + discoveryMode + "\",\"FleetSize\":1,\"Me\":0,\"Zone\":0,"
            + "\"Zones\":[\"kita-dc\",\"higashi-dc\",\"ishikari-dc\"],\"Shapes\":[\"std-6\",\"slow-6\"],"
            + "\"Tick\":5000,\"Weights\":\"nominal\",\"KindOfService\":\"conn\",\"OverShareWorth\":0.1,"
            + "\"Clients\":{\"MarksRetry\":true},"
            + "\"Costs\":{\"CrossZone\":0.03,\"Handshake\":0.02,\"LateFail\":0.069,\"Moves\":0.01,\"Probe\":0.002,"
            + "\"Waste\":0.12},"
            + "\"Limits\":{\"Cancel\":true,\"ConnectTimeout\":200000,\"MaxAttempts\":6,\"MaxRetryAfter\":1500000,"
            + "\"Peers\":false,\"Probes\":false,\"RetryAfter\":true,\"SecondCopies\":false},"
            + "\"Report\":{\"How\":\"silent\",\"Fields\":[]},"
            + "\"FamilyInfo\":{\"Groups\":true,\"MessageAim\":[60000.0,50000.0],\"Mode\":\"proxy\","
            + "\"TenantQuotaConnections\":[180.0,150.0,105.0,65.0]},"
            + "\"Safety\":{\"AskEvery\":10000000,\"Cold\":8700000,\"ColdFrom\":0.31,\"DrainGrace\":1000000,"
            + "\"Fall\":3000000,\"GraceToAnswer\":20000,\"TipMultiple\":3.0},"
            + "\"Realms\":[{\"Name\":\"kitaden-charge\",\"Fraction\":0.36,\"QuotaPerS\":4.0},"
            + "{\"Name\":\"dosan-power\",\"Fraction\":0.3,\"QuotaPerS\":4.0},"
            + "{\"Name\":\"shiretoko-ev\",\"Fraction\":0.21,\"QuotaPerS\":3.0},"
            + "{\"Name\":\"tokachi-plug\",\"Fraction\":0.13,\"QuotaPerS\":2.0}],"
            + "\"Services\":[{\"Name\":\"status-report\",\"Aim\":500000,\"GiveUp\":2000000,\"Effect\":\"retryable\","
            + "\"Group\":\"all\",\"MemorySpan\":5000000,\"Points\":1.0,\"Stream\":true},"
            + "{\"Name\":\"session-check\",\"Aim\":800000,\"GiveUp\":3200000,\"Effect\":\"retryable\","
            + "\"Group\":\"all\",\"MemorySpan\":5000000,\"Points\":2.0,\"Stream\":true}]}}";
    }
}
