package poll

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/knapweedlug/knapweedlug/internal/conf"
	"github.com/knapweedlug/knapweedlug/internal/wire"
)

// ApplyConfig stores the configuration of an answer in holder. The answer is valid until
// freshUntil.
func ApplyConfig(holder *conf.Holder, reply *wire.SyncReply, freshUntil time.Time, log *zap.Logger) error {
	holder.RecordRevision(reply.Revision)
	if len(reply.Config) > 0 {
		var delta conf.Delta
		if err := json.Unmarshal(reply.Config, &delta); err != nil {
			return errors.Wrap(err, "configuration delta")
		}
		if err := holder.Apply(delta); err != nil {
			log.Warn("configuration refused", zap.Uint64("revision", delta.Revision), zap.Error(err))
			return err
		}
		log.Info("configuration in force", zap.Uint64("revision", delta.Revision))
	}
	holder.ExtendFreshnessAt(reply.Revision, freshUntil)
	return nil
}
