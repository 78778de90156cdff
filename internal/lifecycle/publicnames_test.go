package lifecycle

import (
	"reflect"
	"testing"

	"archknot/internal/publicnames"
	"archknot/internal/simwire"
)

// NODE_CONFIG keeps its keys: those that the gateway reads, and those that it deliberately ignores.
func TestConfigurationKeysStay(t *testing.T) {
	names := publicnames.JSONFields("read", reflect.TypeFor[nodeConfig]())
	names = append(names, publicnames.JSONFields("read.settings", simwire.SettingsType())...)
	names = append(names, publicnames.JSONFields("read.settings", reflect.TypeFor[transportSettings]())...)
	for _, ignored := range ignoredKeys {
		names = append(names, "unread."+ignored.key)
	}
	publicnames.Compare(t, "nodeconfig", names)
}
