package hatchgateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchstandin"
	"dragonflyhatch/platform"
)

// keyConfiguration returns a configuration with the JSON of its tenants, or without any if that is
// empty.
func keyConfiguration(version int, tenants string) []byte {
	if tenants != "" {
		tenants = `,"tenants":` + tenants
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[
		{"name":"order","host":"h","path_prefix":"/order/","route_type":"unsafe","service":"desk"},
		{"name":"draft","host":"h","path_prefix":"/draft/","route_type":"streaming","service":"desk"},
		{"name":"open","host":"h","path_prefix":"/open/","route_type":"safe","service":"desk","public":true}],
		"services":[{"name":"desk"}]%s}`, version, tenants)
}

// TestKeysAreNeeded guards against requests that run with keys which no configuration in force
// holds, since its list of tenants is empty. There is no replica, so that a request whose key
// counts fails for that.
func TestKeysAreNeeded(t *testing.T) {
	ctx := context.Background()
	for _, test := range []struct {
		tenants string
		valid   []string // keys
	}{
		{`[{"name":"office","api_keys":["secret"]}]`, []string{"secret"}},
		{`[{"name":"office","api_keys":["other",""]},{"name":"second"}]`, []string{"other"}},
		{`[{"name":"office","api_keys":[]}]`, nil},
		{`[{"name":"office","api_keys":null}]`, nil},
		{`[{"name":"office"}]`, nil},
		{`[{"name":"office","api_keys":[""]}]`, nil},
		{`[]`, nil},
		{`null`, nil},
		{``, []string{"secret", "other", "unknown", ""}},
	} {
		for _, way := range []string{"poll", "watch", "snapshot"} {
			standIn := hatchstandin.NewPlatform()
			server := httptest.NewServer(standIn.Handler())
			newGateway := func() *Gateway {
				return New(&platform.Settings{Host: "a", PeerAddress: "127.0.0.1:1", StoreAddress: server.Listener.Addr().String(), Bounds: platform.Bounds{RetryWindow: time.Second}})
			}
			gateway := newGateway()
			gateway.applyRouting(keyConfiguration(1, `[{"name":"office","api_keys":["secret"]}]`), "test")
			text := keyConfiguration(2, test.tenants)
			switch way {
			case "poll":
				standIn.Put("config", "main", text)
				gateway.pollOnce(ctx, 0, true)
			case "watch":
				change := dragonflyhatch.Change{Object: dragonflyhatch.Object{Name: platform.RoutingName, Value: text}}
				routingFollower{gateway}.applyChanges([]dragonflyhatch.Change{change}, 0)
			case "snapshot":
				peer := newGateway()
				peer.applyRouting(text, "test")
				_, value := peer.Snapshot(dragonflyhatch.SnapshotRouting)
				gateway.applyRouting(value, "peer")
			}
			server.Close()
			for _, key := range []string{"secret", "other", "unknown", ""} {
				for _, path := range []string{"/order/1", "/draft/1", "/open/1"} {
					isDenied := !strings.HasPrefix(path, "/open/") && !slices.Contains(test.valid, key)
					request := httptest.NewRequest(http.MethodPost, path, nil)
					request.Host = "h"
					request.Header.Set("Attempt-Id", "x")
					request.Header.Set("Deadline-Ms", "5")
					if key != "" {
						request.Header.Set("Authorization", "Bearer "+key)
					}
					recorder := httptest.NewRecorder()
					gateway.forwarder.ServeHTTP(recorder, request)
					preview := gateway.forwarder.Preview(gateway.timeOfDay(), dragonflyhatch.PreviewRequest{Host: "h", Path: path, Key: key})
					previewDenies := preview.Refusal.Kind == dragonflyhatch.KindUnauthorized.String()
					if (recorder.Code == http.StatusUnauthorized) != isDenied || previewDenies != isDenied {
						t.Errorf("tenants %s by %s, key %q on %s: status %d, the preview says %q, denied as it must be: %t",
							test.tenants, way, key, path, recorder.Code, preview.Refusal.Kind, isDenied)
					}
				}
			}
		}
	}
}
