package config

import (
	"strings"
	"testing"
)

// Each invalid setting of [cluster] is reported with its line.
func TestCluster(t *testing.T) {
	const head = "name = \"a\"\n" + minimal + "[cluster]\nlisten = \"127.0.0.1:7946\"\n"
	if f, err := Parse("x", []byte(head)); err != nil || f.Cluster.Advertise != "127.0.0.1:7946" || !*f.Cluster.Guard || f.Cluster.Least != 0.1 {
		t.Fatalf("%v", err)
	}
	for _, x := range [][2]string{
		{strings.TrimPrefix(head, "name = \"a\"\n"), "name must be given"},
		{strings.Replace(head, "127.0.0.1:7946", "192.0.2.1:7946", 1), "x:9: cluster.listen: \"192.0.2.1:7946\" is not on loopback"},
		{strings.Replace(head, "127.0.0.1:7946", "host:7946", 1), "x:9: cluster.listen: \"host:7946\" is not an IP address"},
		{strings.Replace(head, "127.0.0.1:7946", "127.0.0.1:0", 1), "x:9: cluster.listen: \"127.0.0.1:0\" has no port"},
		{head + "advertise = \"0.0.0.0:7946\"\n", "x:10: cluster.advertise: \"0.0.0.0:7946\" is not an address that peers can reach"},
		{head + "join = [\"127.0.0.1:1\", \"b\"]\n", "x:10: cluster.join[1]: \"b\" is not host:port"},
		{head + "lease = \"1ms\"\n", "x:10: cluster.lease: 1ms is not within"},
		{head + "least = 2.0\n", "x:10: cluster.least: 2 is not within"},
		{head + "drift = 0.5\n", "x:10: cluster.drift: 0.5 is not within"},
		{head + "key_file = \"/nowhere\"\n", "x:10: cluster.key_file: open /nowhere"},
		{head + "gard = true\n", "did you mean \"guard\"?"},
	} {
		if _, err := Parse("x", []byte(x[0])); err == nil || !strings.Contains(err.Error(), x[1]) {
			t.Errorf("%q:\n%v\nwant %q", x[0], err, x[1])
		}
	}
}
